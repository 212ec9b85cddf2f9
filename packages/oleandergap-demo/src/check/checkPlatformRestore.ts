/**
 * Step of the check: the platform is briefly unavailable and is restored from a copy that lacks the latest versions.
 * Meanwhile requests are served, no node returns to an older version, and later changes propagate as usual.
 */
import type { CheckContext } from "./checkContext.js";
import { listServedServices } from "./checkContext.js";
import { checkChanges } from "./checkChanges.js";
import { sendRequests, type RequestSummary } from "./checkServices.js";

/** Large enough that requests are in flight during the whole step. */
const REQUESTS_PER_SERVICE = 30;

const sendToAllServices = (context: CheckContext): Promise<readonly RequestSummary[]> =>
    Promise.all(listServedServices(context.fleet).map((service) =>
        sendRequests(context, service, "restored", REQUESTS_PER_SERVICE)));

const restoreLastCopy = async ({ fleet }: CheckContext): Promise<void> => {
    await fleet.platform.setFaults({ outage: "reset" });
    await fleet.platform.restore();
    await fleet.platform.setFaults({});
};

/** Runs the step. Rejects unless all requests are answered and all nodes apply the changes after the restore. */
export const checkPlatformRestore = async (context: CheckContext): Promise<void> => {
    await context.fleet.platform.takeCopy();
    await checkChanges(context);
    const [summaries] = await Promise.all([sendToAllServices(context), restoreLastCopy(context)]);
    const requests = summaries.reduce((sum, { targets }) => sum + targets.length, 0);
    const retries = summaries.reduce((sum, summary) => sum + summary.retries, 0);
    context.report(
        `platform restored from a copy that lacks the latest versions: all ${requests} requests meanwhile were answered, ` +
        `${retries} retries after refusals as not run`,
    );
    await checkChanges(context);
};
