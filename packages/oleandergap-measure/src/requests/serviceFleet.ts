/** The small fleet of the experiments on requests, with four targets of one service per partner. */
import { createGeneratedPlan, type Fleet, type FleetPlan, type TargetBehaviour } from "oleandergap-demo";
import type { CallRequest, TargetReport } from "oleandergap-standins";
import { MILLISECONDS_PER_SECOND, type Milliseconds, type ServiceReference } from "oleandergap-types";

/** Number of nodes unless the command line sets another one. */
export const SERVICE_FLEET_DEFAULT_NODES = 8;
const TARGETS_PER_SERVICE = 4;
/** Differs from the ports of the demo, so that both can run at the same time. */
const PORT_BASE = 18_080;

/** The service that receives the load. */
export const measuredService: ServiceReference = { partner: "halloway", service: "service-1" };

/** Number of nodes and behaviour of their targets. */
export interface ServicePlanOptions {
    readonly nodes: number;
    /** Median service time. */
    readonly medianMs: Milliseconds;
    /** Whether targets refuse requests beyond their slots. Otherwise they accept them and slow down. */
    readonly shed: boolean;
    /** Standard deviation of the logarithm of the service time. */
    readonly spread?: number;
}

/** Creates a plan with four targets per service, none of which is slower after its start. */
export const createServicePlan = ({ nodes, medianMs, shed, spread = 0.3 }: ServicePlanOptions): FleetPlan => {
    const behaviour: TargetBehaviour = {
        serviceTime: { medianMs, spread },
        coldStart: { factor: 1, durationMs: 0 },
        shed,
    };
    return createGeneratedPlan({ nodes, targetsPerService: TARGETS_PER_SERVICE, behaviour, portBase: PORT_BASE });
};

/** Lists the targets of the measured service, as reported by the target stand-ins. */
export const listMeasuredTargets = async (fleet: Fleet): Promise<readonly TargetReport[]> => {
    const targets = await fleet.targets.targets();
    return targets.filter(({ partner, service }) =>
        partner === measuredService.partner && service === measuredService.service);
};

/** Returns the requests per second that all slots of the measured service can handle at `medianMs` per request. */
export const computeCapacity = (fleet: Fleet, medianMs: Milliseconds): number => {
    const slots = fleet.plan.vms
        .flatMap(({ target }) => target === undefined ? [] : [target])
        .filter(({ partner, service }) =>
            partner === measuredService.partner && service === measuredService.service)
        .reduce((sum, target) => sum + target.slots, 0);
    return (slots * MILLISECONDS_PER_SECOND) / medianMs;
};

/** Creates a read, which is idempotent and has no key. */
export const createMeasuredRead = (name: string, index: number, timeoutMs: Milliseconds): CallRequest => ({
    service: measuredService,
    method: "GET",
    path: `/files/${index}`,
    runKey: `${name}-${index}`,
    timeoutMs,
});

/** Creates a lodgement, which is not idempotent and has a key from the caller. */
export const createMeasuredPost = (name: string, index: number, timeoutMs: Milliseconds): CallRequest => ({
    service: measuredService,
    method: "POST",
    path: "/lodgements",
    runKey: `${name}-${index}`,
    idempotencyKey: `${name}-lodgement-${index}`,
    body: Buffer.from(`lodgement ${index}`),
    timeoutMs,
});

/** Creates a request that is not idempotent and has no key, so it must not be retried once it may have run. */
export const createUnkeyedPost = (name: string, index: number, timeoutMs: Milliseconds): CallRequest => ({
    service: measuredService,
    method: "POST",
    path: "/notes",
    runKey: `${name}-${index}`,
    body: Buffer.from(`note ${index}`),
    timeoutMs,
});

/** Creates an upload of `body`, which is idempotent but too large to be buffered for a retry. */
export const createMeasuredUpload = (
    name: string,
    index: number,
    timeoutMs: Milliseconds,
    body: Uint8Array,
): CallRequest => ({
    service: measuredService,
    method: "PUT",
    path: `/scans/${index}`,
    runKey: `${name}-${index}`,
    body,
    timeoutMs,
});
