/**
 * Step of the check: a request crashes each target that runs it, and comes again and again. After its third crash every
 * node refuses it, and the service goes on.
 */
import type { CallRequest } from "oleandergap-standins";
import type { Milliseconds, NodeId, ServiceReference } from "oleandergap-types";
import { listServedServices, type CheckContext } from "./checkContext.js";

const CRASH_PATH = "/check/crash";
/** Short, so that the next step finds all targets. */
const DOWN_MS: Milliseconds = 500;
const SEND_DISTANCE_MS: Milliseconds = 50;
const REQUEST_TIMEOUT_MS: Milliseconds = 2000;
/** Sends in all; three are enough unless each meets a target that is not back yet. */
const MOST_SENDS = 200;

const listTargets = ({ fleet }: CheckContext, { partner, service }: ServiceReference): readonly NodeId[] =>
    fleet.plan.vms
        .filter(({ target }) => target?.partner === partner && target.service === service)
        .map(({ id }) => id);

const countCrashes = async ({ fleet }: CheckContext): Promise<number> => (await fleet.targets.targets())
    .reduce((sum, { counters }) => sum + counters.crashes, 0);

/** Sends it through one gateway after the other until each of them in turn has refused it. */
const sendUntilRefused = async (context: CheckContext, service: ServiceReference): Promise<number> => {
    const { fleet, caller, clock, signal } = context;
    const gateways = fleet.gateways();
    let refusedInTurn = 0;
    for (let sends = 1; sends <= MOST_SENDS; sends++) {
        const request: CallRequest = {
            service, method: "GET", path: CRASH_PATH, runKey: `crash-${sends}`, timeoutMs: REQUEST_TIMEOUT_MS,
        };
        const gateway = gateways[sends % gateways.length];
        const result = gateway === undefined ? undefined : await caller.call(gateway, request);
        const isContained = result?.kind === "Refused" && result.reason === "Contained";
        refusedInTurn = isContained ? refusedInTurn + 1 : 0;
        if (refusedInTurn >= gateways.length) {
            return sends;
        }
        await clock.sleep(isContained ? 0 : SEND_DISTANCE_MS, signal);
    }
    throw new Error(`a request that crashes its targets is not refused by all nodes after ${MOST_SENDS} sends`);
};

/** Rejects unless all nodes refuse the request in the end. */
export const containRequest = async (context: CheckContext): Promise<void> => {
    const { fleet, report } = context;
    const [listed] = listServedServices(fleet);
    if (listed === undefined) {
        throw new RangeError("the fleet serves nothing");
    }
    const targets = listTargets(context, listed.reference);
    const faults = { crashPath: CRASH_PATH, crashDownMs: DOWN_MS };
    await Promise.all(targets.map((id) => fleet.targets.setFaults(id, faults)));
    try {
        const sends = await sendUntilRefused(context, listed.reference);
        const crashes = await countCrashes(context);
        report(`a request that crashes its targets ended ${crashes}; sent ${sends} times, all nodes refuse it`);
    }
    finally {
        await Promise.all(targets.map((id) => fleet.targets.setFaults(id, {})));
    }
};
