/**
 * Step of the check: the platform is away for a moment and comes back from a copy that lacks the last versions.
 * Requests go on meanwhile, no node goes back, and the next changes are followed as ever.
 */
import type { CheckContext } from "./checkContext.js";
import { listServedServices } from "./checkContext.js";
import { followChanges } from "./followChange.js";
import { answerSeveral, type AnswerCount } from "./serveServices.js";

/** For each service; enough that some are under way during the whole step. */
const REQUESTS = 30;

const serveAll = (context: CheckContext): Promise<readonly AnswerCount[]> =>
    Promise.all(listServedServices(context.fleet).map((service) =>
        answerSeveral(context, service, "restored", REQUESTS)));

const restore = async ({ fleet }: CheckContext): Promise<void> => {
    await fleet.platform.setFaults({ outage: "reset" });
    await fleet.platform.restore();
    await fleet.platform.setFaults({});
};

/** Rejects unless all requests are answered and all nodes follow the changes after the restore. */
export const restorePlatform = async (context: CheckContext): Promise<void> => {
    await context.fleet.platform.keepCopy();
    await followChanges(context);
    const [answers] = await Promise.all([serveAll(context), restore(context)]);
    const requests = answers.reduce((sum, { targets }) => sum + targets.length, 0);
    const comebacks = answers.reduce((sum, answer) => sum + answer.comebacks, 0);
    context.report(
        `platform restored from a copy that lacks the last versions: ${requests} requests meanwhile, all answered, ` +
        `${comebacks} refusals as not run on the way`,
    );
    await followChanges(context);
};
