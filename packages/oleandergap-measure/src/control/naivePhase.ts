/** Runs the pollers of the naive version for one phase of an experiment. */
import type { Fleet } from "oleandergap-demo";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext } from "../experiment.js";
import { startNaivePolling, type NaiveAppliedVersion, type NaivePolling } from "../naive/naivePolling.js";

/** Polling interval of the naive version. Four polls per second give a median delay of an eighth of a second. */
export const NAIVE_POLL_INTERVAL_MS: Milliseconds = 250;

/** Pollers that run until `stop` is called, and the versions that they have applied so far. */
export interface NaivePhase {
    readonly polling: NaivePolling;
    readonly applied: readonly NaiveAppliedVersion[];
    readonly stop: () => Promise<void>;
}

/**
 * Starts `nodes` pollers. `address` is the platform's main address or the platform entrance of an availability zone.
 */
export const startNaivePhase = (
    fleet: Fleet,
    context: ExperimentContext,
    nodes: number,
    address: string = fleet.plan.platform.address,
): NaivePhase => {
    const abortController = new AbortController();
    const applied: NaiveAppliedVersion[] = [];
    const polling = startNaivePolling({
        clock: context.clock,
        platform: { address, port: fleet.plan.ports.platform },
        nodes,
        partners: fleet.plan.partners.map(({ partner }) => partner),
        intervalMs: NAIVE_POLL_INTERVAL_MS,
        signal: AbortSignal.any([abortController.signal, context.signal]),
        onApplied: (appliedVersion) => applied.push(appliedVersion),
    });
    return {
        polling,
        applied,
        stop: async () => {
            abortController.abort();
            await polling.finished;
        },
    };
};
