/** Converts a request execution into the input of the target picker. */
import type { AttemptHistory } from "./attemptHistory.js";
import type { RequestExecution } from "./requestExecution.js";
import type { PickRequest, RoutableTarget } from "./target.js";

/** Returns the input of the target picker. Without a history, no target is excluded. */
export const toPickRequest = <Target extends RoutableTarget>(
    { service, row, targets, idempotent, canReplayBody, kind }: RequestExecution<Target>,
    history?: AttemptHistory,
): PickRequest<Target> => ({
    service,
    row,
    targets,
    exclude: history?.attemptedNodeIds ?? [],
    avoidZone: history?.overloadedZone(),
    canResend: idempotent && canReplayBody(),
    kind,
});
