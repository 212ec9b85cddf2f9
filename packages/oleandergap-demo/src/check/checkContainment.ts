/**
 * Step of the check: a request that crashes each target that runs it is sent repeatedly. After its third crash all
 * nodes refuse the request, and the service remains available.
 */
import * as either from "fp-ts/lib/Either.js";
import type { CallRequest } from "oleandergap-standins";
import type { Milliseconds, NodeId, ServiceReference } from "oleandergap-types";
import { waitForValue } from "../fleet/waitFor.js";
import { listServedServices, type CheckContext } from "./checkContext.js";

const CRASH_PATH = "/check/crash";
/** Short, so that all targets are running again in the next step. */
const TARGET_RESTART_DELAY_MS: Milliseconds = 500;
const ANNOUNCEMENT_TIMEOUT_MS: Milliseconds = 30_000;
const SEND_INTERVAL_MS: Milliseconds = 50;
const REQUEST_TIMEOUT_MS: Milliseconds = 2000;
/** Maximum number of sends. Three are enough unless a send reaches a target that has not restarted yet. */
const MAX_SENDS = 200;

const listTargets = ({ fleet }: CheckContext, { partner, service }: ServiceReference): readonly NodeId[] =>
    fleet.plan.vms
        .filter(({ target }) => target?.partner === partner && target.service === service)
        .map(({ id }) => id);

const countCrashes = async ({ fleet }: CheckContext): Promise<number> => (await fleet.targets.targets())
    .reduce((sum, { counters }) => sum + counters.crashes, 0);

/**
 * Sends the request through the gateways in turn until all of them have refused it in succession. Returns the number of
 * sends.
 */
const sendUntilRefused = async (context: CheckContext, service: ServiceReference): Promise<number> => {
    const { fleet, caller, clock, signal } = context;
    const gateways = fleet.gateways();
    let consecutiveRefusals = 0;
    for (let sends = 1; sends <= MAX_SENDS; sends++) {
        const request: CallRequest = {
            service, method: "GET", path: CRASH_PATH, runKey: `crash-${sends}`, timeoutMs: REQUEST_TIMEOUT_MS,
        };
        const gateway = gateways[sends % gateways.length];
        const result = gateway === undefined ? undefined : await caller.call(gateway, request);
        const isContained = result?.kind === "Refused" && result.reason === "Contained";
        consecutiveRefusals = isContained ? consecutiveRefusals + 1 : 0;
        if (consecutiveRefusals >= gateways.length) {
            return sends;
        }
        await clock.sleep(isContained ? 0 : SEND_INTERVAL_MS, signal);
    }
    throw new Error(`not all nodes refuse a request that crashes its targets after ${MAX_SENDS} sends`);
};

/** Waits until the nodes have received the announcements of all targets again. The next steps send requests to them. */
const waitUntilAnnounced = async (
    { fleet, signal }: CheckContext,
    { partner }: ServiceReference,
    targets: readonly NodeId[],
): Promise<void> => {
    await waitForValue({
        description: "the crashed targets are announced again",
        timeoutMs: ANNOUNCEMENT_TIMEOUT_MS,
        signal,
    }, async () => {
        const views = await Promise.all(targets.map((id) => fleet.operatorClient(partner, id).listTargets()()));
        const isAnnounced = views.every((view) => either.isRight(view) &&
            targets.every((id) => view.right.targets.some(({ nodeId }) => nodeId === id)));
        return isAnnounced ? true : undefined;
    });
};

/** Runs the step. Rejects unless all nodes finally refuse the request and the targets are announced again. */
export const checkContainment = async (context: CheckContext): Promise<void> => {
    const { fleet, report } = context;
    const [servedService] = listServedServices(fleet);
    if (servedService === undefined) {
        throw new RangeError("the fleet has no service with a target");
    }
    const targets = listTargets(context, servedService.reference);
    const faults = { crashPath: CRASH_PATH, crashDownMs: TARGET_RESTART_DELAY_MS };
    await Promise.all(targets.map((id) => fleet.targets.setFaults(id, faults)));
    try {
        const sends = await sendUntilRefused(context, servedService.reference);
        const crashes = await countCrashes(context);
        report(`a request that crashes its targets caused ${crashes} crashes; after ${sends} sends all nodes refuse it`);
    }
    finally {
        await Promise.all(targets.map((id) => fleet.targets.setFaults(id, {})));
    }
    await waitUntilAnnounced(context, servedService.reference, targets);
};
