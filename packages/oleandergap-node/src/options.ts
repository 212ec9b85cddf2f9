/** The daemon's settings file: its own settings, and those of each part. All durations are milliseconds. */
import { changeOptionsSchema } from "oleandergap-configuration";
import { containmentOptionsSchema } from "oleandergap-containment";
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
    /** Address of this VM. Other nodes reach this node by it, so it must not be a wildcard. */
    address: addressSchema.refine((address) => address !== "0.0.0.0" && address !== "::", {
        error: "use the address by which other nodes reach this VM, not a wildcard",
    }),
    /** Requests of callers. */
    gatewayPort: portSchema,
    /** Requests that other nodes hand to this node's target. */
    gatePort: portSchema,
    /** Membership (UDP), peers and operators (TCP). */
    controlPort: portSchema,
    /** Announcements of the target, metrics and health. */
    adminPort: portSchema,
});

const requestsSchema = z.strictObject({
    /** Largest body of a request. */
    maxBodyBytes: z.number().int().min(1024).max(16 * 1024 * MEBIBYTE).default(1024 * MEBIBYTE),
    /** Most connections of callers, and of other nodes to the gate. */
    maxConnections: z.number().int().min(1).max(100_000).default(4000),
    /** Most connections to the gate of one other node. */
    connectionsPerNode: z.number().int().min(1).max(1000).default(64),
    /** Time to open a connection. */
    connectTimeoutMs: z.number().int().min(10).max(60_000).default(500),
    /** A connection without a request is closed after this time, before something in between forgets it. */
    idleConnectionMs: z.number().int().min(100).max(60_000).default(4000),
    /** The connections to another node are given up after this time without a request to it. */
    poolIdleMs: z.number().int().min(1000).max(3_600_000).default(60_000),
    /** Time for a request that reaches the gate without one; gateways always name it. */
    usualTimeoutMs: z.number().int().min(1).max(600_000).default(10_000),
    /** Longest wait of the first requests for a service until other zones have named its targets. */
    firstLookupMs: z.number().int().min(0).max(10_000).default(1000),
    /** Another node's gate that shows no sign for this time has lost the connection. */
    gateSilenceMs: z.number().int().min(200).max(60_000).default(500),
    /** A target that begins no answer for this time, at least, may have lost the connection. */
    targetSilenceMs: z.number().int().min(100).max(60_000).default(1000),
    /** Longest silence within the body of an answer. */
    bodySilenceMs: z.number().int().min(1000).max(600_000).default(30_000),
});

const targetSchema = z.strictObject({
    /** A target that has not repeated its announcement for this time is gone. */
    heartbeatTimeoutMs: z.number().int().min(500).max(60_000).default(3000),
    /** Requests that still wait this long after their target began to leave are refused. */
    leavingQueueMs: z.number().int().min(0).max(60_000).default(1000),
});

const stopSchema = z.strictObject({
    /** The gate of a stopping node still lets requests in for this time. */
    serveMs: z.number().int().min(0).max(60_000).default(0),
    /** And for up to this time while no other target of the service takes requests. */
    serveLongestMs: z.number().int().min(0).max(60_000).default(0),
    /** A stopping node that says on /readyz that it leaves still serves callers for this time. */
    acceptMs: z.number().int().min(0).max(60_000).default(0),
    /** Time in which other nodes and callers learn that this node leaves; it still answers, with refusals. */
    lingerMs: z.number().int().min(0).max(60_000).default(1000),
    /** Requests that are still in flight after this time are cut off. */
    drainTimeoutMs: z.number().int().min(100).max(3_600_000).default(60_000),
});

const logsSchema = z.strictObject({
    /** Lines on failed requests a second, on average; more are left out and counted. */
    requestLinesPerSecond: z.number().min(0).max(10_000).default(20),
});

const diagnosticsSchema = z.strictObject({
    /**
     * Distance of two lines that say which parts of the node took its processor time; none without it. Sampling takes
     * several times what a resting node does: 86 ms a second instead of 16, mean of 18 nodes.
     */
    processorProfileMs: z.number().int().min(1000).max(600_000).optional(),
});

const clusterSchema = z.strictObject({
    /** File with the key that all nodes share; a relative path starts at the folder of the settings file. */
    keyFile: z.string().min(1).optional(),
    /** The file is read again this often, so that the key can be replaced while nodes run. */
    keyReloadMs: z.number().int().min(100).max(3_600_000).default(10_000),
});

export const nodeOptionsSchema = z.strictObject({
    /** Name of this VM; a restarted process keeps it. */
    nodeId: nodeIdSchema,
    /** Availability zone of this VM. */
    zone: zoneNameSchema,
    /** Partners whose tables this node serves. */
    partners: z.array(partnerNameSchema).min(1).max(16),
    listen: listenSchema,
    /** Width of this VM's link; nodes with wide ones read the platform for the others. */
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
    changes: changeOptionsSchema.prefault({}),
    claims: claimOptionsSchema.prefault({}),
    keyOwnership: ownershipOptionsSchema.prefault({}),
    operators: operatorOptionsSchema.prefault({}),
});
export type NodeOptions = z.infer<typeof nodeOptionsSchema>;
