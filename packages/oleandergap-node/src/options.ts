/** Schema of the daemon's settings file: its own settings and those of each part. All durations are milliseconds. */
import { changeOptionsSchema } from "oleandergap-configuration";
import { containmentOptionsSchema } from "oleandergap-containment";
import { quotaOptionsSchema } from "oleandergap-customers";
import { rolloutOptionsSchema } from "oleandergap-rollout";
import { distributionOptionsSchema } from "oleandergap-distribution";
import { gateOptionsSchema } from "oleandergap-gate";
import { claimOptionsSchema, ownershipOptionsSchema } from "oleandergap-idempotency";
import { membershipOptionsSchema, targetDirectoryOptionsSchema } from "oleandergap-membership";
import { operatorOptionsSchema } from "oleandergap-operator";
import { platformOptionsSchema } from "oleandergap-platform";
import { routingOptionsSchema } from "oleandergap-routing";
import { addressSchema, nodeIdSchema, partnerNameSchema, portSchema, zoneNameSchema } from "oleandergap-types";
import { z } from "zod";

const MEBIBYTE = 1024 * 1024;

const listenSchema = z.strictObject({
    /** Address of this VM. Other nodes connect to this address, so it must not be a wildcard. */
    address: addressSchema.refine((address) => address !== "0.0.0.0" && address !== "::", {
        error: "use the address by which other nodes reach this VM, not a wildcard",
    }),
    /** Port for requests from callers. */
    gatewayPort: portSchema,
    /** Port for requests that other nodes send to this node's target. */
    gatePort: portSchema,
    /** Port for the membership (UDP), and for peers and operators (TCP). */
    controlPort: portSchema,
    /** Port for target announcements, metrics and health checks. */
    adminPort: portSchema,
});

const requestsSchema = z.strictObject({
    /** Maximum size of a request body, in bytes. */
    maxBodyBytes: z.number().int().min(1024).max(16 * 1024 * MEBIBYTE).default(1024 * MEBIBYTE),
    /**
     * Maximum number of connections of each listener, such as those of callers and those of other nodes to the gate.
     */
    maxConnections: z.number().int().min(1).max(100_000).default(4000),
    /** Maximum number of connections to the gate of another node. */
    connectionsPerNode: z.number().int().min(1).max(1000).default(64),
    /** Timeout for opening a connection. */
    connectTimeoutMs: z.number().int().min(10).max(60_000).default(500),
    /** An idle connection is closed after this time, before a device in the network path drops its state. */
    idleConnectionMs: z.number().int().min(100).max(60_000).default(4000),
    /** The connection pool for another node is closed after this time without a request to that node. */
    poolIdleMs: z.number().int().min(1000).max(3_600_000).default(60_000),
    /** Timeout of a request that arrives at the gate without a timeout header. Gateways always send the header. */
    usualTimeoutMs: z.number().int().min(1).max(600_000).default(10_000),
    /** Maximum time for which the first requests for a service wait until other zones have reported its targets. */
    firstLookupMs: z.number().int().min(0).max(10_000).default(1000),
    /**
     * Inactivity timeout of a request at another node's gate: time without a request heartbeat after which the
     * connections are replaced and an idempotent request is sent again. The connection counts as lost after twice this
     * time.
     */
    gateSilenceMs: z.number().int().min(200).max(60_000).default(500),
    /**
     * Minimum inactivity timeout of an idempotent request at the target: time without the start of a response after
     * which the request is sent again on a new connection.
     */
    targetSilenceMs: z.number().int().min(100).max(60_000).default(1000),
    /** Maximum time without data within a response body. */
    bodySilenceMs: z.number().int().min(1000).max(600_000).default(30_000),
});

const targetSchema = z.strictObject({
    /** Time without a repeated announcement after which the target is removed. */
    heartbeatTimeoutMs: z.number().int().min(500).max(60_000).default(3000),
    /** Requests that still wait this long after their target starts to leave are refused. */
    leavingQueueMs: z.number().int().min(0).max(60_000).default(1000),
});

const stopSchema = z.strictObject({
    /** Time for which the gate of a stopping node still admits requests. */
    serveMs: z.number().int().min(0).max(60_000).default(0),
    /** Maximum time for which the gate still admits requests while no other target of the service accepts requests. */
    serveLongestMs: z.number().int().min(0).max(60_000).default(0),
    /** Time for which a stopping node still serves callers after /readyz has started to report that it is draining. */
    acceptMs: z.number().int().min(0).max(60_000).default(0),
    /** Time for other nodes and callers to notice that this node leaves. The node still responds, with refusals. */
    lingerMs: z.number().int().min(0).max(60_000).default(1000),
    /** Drain timeout: requests that are still in flight after this time are aborted. */
    drainTimeoutMs: z.number().int().min(100).max(3_600_000).default(60_000),
});

const logsSchema = z.strictObject({
    /** Average limit of log lines for failed requests per second. Further lines are left out and counted. */
    requestLinesPerSecond: z.number().min(0).max(10_000).default(20),
});

const diagnosticsSchema = z.strictObject({
    /**
     * Interval between two log lines with the CPU time of each part of the node; no lines if absent. Sampling takes
     * several times the CPU time of an idle node: 86 ms per second instead of 16 ms, as a mean of 18 nodes.
     */
    processorProfileMs: z.number().int().min(1000).max(600_000).optional(),
});

const clusterSchema = z.strictObject({
    /** File with the key that all nodes share. A relative path is resolved against the folder of the settings file. */
    keyFile: z.string().min(1).optional(),
    /** Interval at which the file is read again, so that the key can be replaced while nodes are running. */
    keyReloadMs: z.number().int().min(100).max(3_600_000).default(10_000),
});

export const nodeOptionsSchema = z.strictObject({
    /** Id of this VM. It stays the same when the process restarts. */
    nodeId: nodeIdSchema,
    /** Availability zone of this VM. */
    zone: zoneNameSchema,
    /** Partners whose tables this node serves. */
    partners: z.array(partnerNameSchema).min(1).max(16),
    listen: listenSchema,
    /** Bandwidth of this VM's network link. Nodes with a high bandwidth read from the platform for other nodes. */
    linkMegabitsPerSecond: z.number().positive().optional(),
    cluster: clusterSchema.prefault({}),
    platform: z.strictObject({
        tableService: platformOptionsSchema,
        objectStore: platformOptionsSchema,
    }),
    requests: requestsSchema.prefault({}),
    target: targetSchema.prefault({}),
    stop: stopSchema.prefault({}),
    logs: logsSchema.prefault({}),
    diagnostics: diagnosticsSchema.prefault({}),
    membership: membershipOptionsSchema.prefault({}),
    targetDirectory: targetDirectoryOptionsSchema.prefault({}),
    distribution: distributionOptionsSchema.prefault({}),
    routing: routingOptionsSchema.prefault({}),
    gate: gateOptionsSchema.prefault({}),
    containment: containmentOptionsSchema.prefault({}),
    rollouts: rolloutOptionsSchema.prefault({}),
    quotas: quotaOptionsSchema.prefault({}),
    changes: changeOptionsSchema.prefault({}),
    claims: claimOptionsSchema.prefault({}),
    keyOwnership: ownershipOptionsSchema.prefault({}),
    operators: operatorOptionsSchema.prefault({}),
});
export type NodeOptions = z.infer<typeof nodeOptionsSchema>;
