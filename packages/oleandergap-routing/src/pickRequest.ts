/** Converts a request execution into the input of the target picker. */
import type { AttemptHistory } from "./attemptHistory.js";
import type { RequestExecution } from "./requestExecution.js";
import type { PickRequest, RoutableTarget } from "./target.js";

/**
 * Returns the input of the target picker for the targets of a new version, or undefined if the attempt goes to the
 * usual targets.
 */
export const toTrialPickRequest = <Target extends RoutableTarget>(
    execution: RequestExecution<Target>,
    history: AttemptHistory,
): PickRequest<Target> | undefined => {
    const { trial } = execution;
    const isUsed = trial !== undefined && (trial.includesRetries || history.attemptedNodeIds.length === 0);
    return isUsed ?
        { ...toPickRequest(execution, history), targets: trial.targets, group: trial.version } :
        undefined;
};

/** Returns the input of the target picker. Without a history, no target is excluded. */
export const toPickRequest = <Target extends RoutableTarget>(
    { service, row, targets, idempotent, canReplayBody, kind, objective }: RequestExecution<Target>,
    history?: AttemptHistory,
): PickRequest<Target> => ({
    service,
    row,
    targets,
    exclude: history?.attemptedNodeIds ?? [],
    avoidZone: history?.overloadedZone(),
    canResend: idempotent && canReplayBody(),
    kind,
    objective,
});
