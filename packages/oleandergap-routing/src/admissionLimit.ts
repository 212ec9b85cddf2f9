/** A wrapper of a router that sends the share of requests that the gates of their service ask for. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Clock, type NodeId } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { AdmissionShares } from "./admissionShares.js";
import type { AskedRequests } from "./askedRequests.js";
import { createAttemptHistory } from "./attemptHistory.js";
import { isCapacityRefusal } from "./recordOutcome.js";
import type {
    Attempt,
    AttemptResult,
    DiscardAnswer,
    RequestExecution,
    RequestRouter,
    Routed,
    RoutedFailure,
} from "./requestExecution.js";
import { createRefusal } from "./requestThrottling.js";
import type { RoutableTarget, TargetPicker } from "./target.js";
import { wasLeftUnanswered } from "./unansweredRequests.js";

/** Dependencies of the wrapper. */
export interface AdmissionLimitDependencies<Target extends RoutableTarget> {
    readonly clock: Clock;
    readonly shares: AdmissionShares;
    readonly asked: AskedRequests;
    readonly random: Random;
    readonly picker: Pick<TargetPicker<Target>, "retryAfter">;
}

/** Returns whether a result shows the state of a gate that admits requests. */
const isFromOpenGate = <Answer>({ outcome }: AttemptResult<Answer>): boolean =>
    either.isRight(outcome) || (outcome.left.kind === "Refused" && isCapacityRefusal(outcome.left.reason));

/** Creates the function that returns the nodes of targets. It computes them once for each array of targets. */
const createNodeIdLookup = <Target extends RoutableTarget>(): (targets: readonly Target[]) => ReadonlySet<NodeId> => {
    const nodeIdsByTargets = new WeakMap<readonly Target[], ReadonlySet<NodeId>>();
    return (targets) => {
        const nodeIds = nodeIdsByTargets.get(targets) ?? new Set(targets.map(({ nodeId }) => nodeId));
        nodeIdsByTargets.set(targets, nodeIds);
        return nodeIds;
    };
};

/** Refuses requests beyond the share that gates ask for, and records what they ask for in their responses. */
export const withAdmissionLimit = <Target extends RoutableTarget>(
    { clock, shares, asked, random, picker }: AdmissionLimitDependencies<Target>,
    execute: RequestRouter<Target>["execute"],
): RequestRouter<Target>["execute"] => {
    const getNodeIds = createNodeIdLookup<Target>();

    return async <Answer>(
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
        discard?: DiscardAnswer<Answer>,
    ): Promise<Either<RoutedFailure, Routed<Answer>>> => {
        const { service, row, targets, trial, kind = "", isCallerRetry = false, deadline, signal } = execution;
        if (row.placement !== "load") {
            return execute(execution, attempt, discard);
        }
        const key = `${formatServiceReference(service)} ${kind}`;
        const present = [targets, ...trial === undefined ? [] : [trial.targets]].map(getNodeIds);
        const share = shares.getShare(key, (nodeId) => present.some((nodeIds) => nodeIds.has(nodeId)));
        const sentShare = asked.divideShare(key, share, isCallerRetry);
        if (random() >= sentShare) {
            return either.left(createAttemptHistory().conclude(createRefusal("LimitReached"), picker.retryAfter(service)));
        }
        const sendShare: Attempt<Target, Answer> = async (target, context) => {
            const sentAt = clock.monotonic();
            const result = await attempt(target, { ...context, sentShare });
            const times = { sentAt, now: clock.monotonic(), deadline, signal };
            if (result.admissionShare !== undefined && isFromOpenGate(result)) {
                shares.recordShare(key, target.nodeId, result.admissionShare);
            }
            else if (either.isLeft(result.outcome) && wasLeftUnanswered(result.outcome.left, times)) {
                shares.recordSilence(key, target.nodeId, { sentAt, share });
            }
            return result;
        };
        return execute(execution, sendShare, discard);
    };
};
