/** Step of the check: drains one target and verifies that no new request reaches it a few seconds later. */
import type { TargetReport } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { runCommand } from "../fleet/commandLine.js";
import { listServedServices, type CheckContext, type ServedService } from "./checkContext.js";
import { sendRequests, describeRetries } from "./checkServices.js";

/** Time within which all nodes must have received the information that a target is leaving. */
const PROPAGATION_TIME: Milliseconds = 3000;
const REQUESTS_AFTER_DRAIN = 40;

interface DrainCandidate {
    readonly service: ServedService;
    readonly nodeId: string;
}

/** Returns a service with several targets and the node of its last target. */
const chooseDrainCandidate = ({ fleet }: CheckContext): DrainCandidate | undefined => {
    for (const service of listServedServices(fleet)) {
        const { partner, service: name } = service.reference;
        const vms = fleet.plan.vms.filter(({ target }) => target?.partner === partner && target.service === name);
        const last = vms.at(-1);
        if (vms.length > 1 && last !== undefined) {
            return { service, nodeId: last.id };
        }
    }
    return undefined;
};

const findTarget = async ({ fleet }: CheckContext, id: string): Promise<TargetReport> => {
    const found = (await fleet.targets.targets()).find((target) => target.id === id);
    if (found === undefined) {
        throw new Error(`no target stand-in has the id ${id}`);
    }
    return found;
};

/** Runs the step. Rejects if a request reaches the drained target or is not answered by another one. */
export const checkDrain = async (context: CheckContext): Promise<void> => {
    const { fleet, clock, signal, report } = context;
    const candidate = chooseDrainCandidate(context);
    if (candidate === undefined) {
        throw new Error("no service has two targets, so none can be drained");
    }
    const { service, nodeId } = candidate;
    const { partner, service: name } = service.reference;
    report(`${partner} at ${nodeId}: oleandergap drain ${nodeId}`);
    await runCommand(fleet, { partner, nodeId, commandArguments: ["drain", nodeId] });
    await clock.sleep(PROPAGATION_TIME, signal);
    signal.throwIfAborted();

    const before = await findTarget(context, nodeId);
    const summary = await sendRequests(context, service, "drained", REQUESTS_AFTER_DRAIN);
    const after = await findTarget(context, nodeId);
    const newRequests = after.counters.received - before.counters.received;
    if (newRequests > 0) {
        throw new Error(`${partner}/${name}: ${newRequests} new requests reached the drained target at ${nodeId}`);
    }
    report(
        `${partner}/${name}: target at ${nodeId} drained; of ${REQUESTS_AFTER_DRAIN} requests after ${PROPAGATION_TIME} ms ` +
        `none reached it${describeRetries(summary)}`,
    );
};
