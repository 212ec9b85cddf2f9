/** What the choice of a target needs to know of a request on its way. */
import type { AttemptHistory } from "./attemptHistory.js";
import type { RequestExecution } from "./requestExecution.js";
import type { PickRequest, RoutableTarget } from "./target.js";

/** Without a history, the request has tried nothing yet. */
export const toPickRequest = <Target extends RoutableTarget>(
    { service, row, targets, idempotent, replayable, kind }: RequestExecution<Target>,
    history?: AttemptHistory,
): PickRequest<Target> => ({
    service,
    row,
    targets,
    exclude: history?.tried ?? [],
    avoidZone: history?.shortZone(),
    canResend: idempotent && replayable(),
    kind,
});
