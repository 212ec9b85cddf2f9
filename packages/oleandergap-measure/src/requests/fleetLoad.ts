/** Ordinary load on a fleet: idempotent reads of every service, through the gateways of all running nodes. */
import type { Fleet } from "oleandergap-demo";
import { createCaller, runLoad, type CallRequest, type GatewayAddress, type LoadReport } from "oleandergap-standins";
import { formatServiceReference, type Milliseconds, type ServiceReference } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";

/** Rate, duration and destinations of the load. */
export interface FleetLoadOptions {
    readonly seed: number;
    readonly ratePerSecond: number;
    readonly durationMs: Milliseconds;
    readonly timeoutMs?: Milliseconds;
    /** Defaults to all services that have targets. */
    readonly services?: readonly ServiceReference[];
    /** Defaults to the gateways of all running nodes. */
    readonly gateways?: () => readonly GatewayAddress[];
    readonly signal: AbortSignal;
    /** Prefix of the run keys, which must differ between runs on one fleet. */
    readonly name: string;
}

const DEFAULT_TIMEOUT_MS = 3000;

/** Lists the services with at least one target in the fleet, without duplicates. */
export const listServedServices = (fleet: Fleet): readonly ServiceReference[] => {
    const served = fleet.plan.vms.flatMap(({ target }) => target === undefined ? [] : [target]);
    const byName = new Map(served.map(({ partner, service }) => {
        const reference = { partner, service };
        return [formatServiceReference(reference), reference] as const;
    }));
    return [...byName.values()];
};

const createReadRequest = (
    services: readonly ServiceReference[],
    options: FleetLoadOptions,
    index: number,
): CallRequest => {
    const service = services[index % services.length];
    if (service === undefined) {
        throw new RangeError("the fleet has no service with targets");
    }
    return {
        service,
        method: "GET",
        path: `/files/${index}`,
        runKey: `${options.name}-${index}`,
        timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    };
};

/** Sends the load. Resolves with the report when the last request has ended. */
export const runFleetLoad = async (fleet: Fleet, options: FleetLoadOptions): Promise<LoadReport> => {
    const services = options.services ?? listServedServices(fleet);
    const caller = createCaller();
    try {
        return await runLoad({
            caller,
            random: createSeededRandom(options.seed),
            ratePerSecond: options.ratePerSecond,
            durationMs: options.durationMs,
            gateways: options.gateways ?? fleet.gateways,
            createRequest: (index) => createReadRequest(services, options, index),
            signal: options.signal,
        });
    }
    finally {
        await caller.close();
    }
};

/** Describes the unanswered requests by reason, as text for progress messages. */
export const describeUnanswered = ({ refusedByReason, failedByDetail, notSent }: LoadReport): string =>
    `Not answered: ${JSON.stringify({ ...refusedByReason, ...failedByDetail, notSent })}.`;

/** Returns the share of all arrivals that got a complete response. */
export const computeAnsweredShare = ({ answered, sent, notSent }: LoadReport): number =>
    answered / Math.max(1, sent + notSent);
