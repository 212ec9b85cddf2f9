/** Runs one attempt at a chosen target, and tells the picker what it teaches. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, GateLoad, Milliseconds, RequestFailure } from "oleandergap-types";
import { describeError } from "oleandergap-utils";
import type { OpenAttempts } from "./openAttempts.js";
import type { Attempt, AttemptResult, RequestExecution } from "./requestExecution.js";
import type { AttemptOutcome, RoutableTarget, TargetPick } from "./target.js";

/**
 * A request whose time is over before it could be sent is refused by this node, not by the target's: no load was told.
 * Taken for an answer, it would bring a target back that is cut off; one would see requests wait there again and again.
 */
const isUnheard = (failure: RequestFailure, load: GateLoad | undefined): boolean =>
    failure.kind === "Refused" && failure.reason === "DeadlinePassed" && load === undefined;

const toOutcome = (
    { failure, load }: { readonly failure: RequestFailure; readonly load: GateLoad | undefined },
    waitedMs: Milliseconds,
    isTimeout: boolean,
): AttemptOutcome => {
    if (isUnheard(failure, load)) {
        return { kind: "AnswerLost", waitedMs, isTimeout: true };
    }
    switch (failure.kind) {
        case "Refused":
            return failure.reason === "Cancelled" || failure.reason === "ClaimUnavailable" ?
                { kind: "Abandoned" } :
                { kind: "Refused", reason: failure.reason };
        case "ConnectFailed":
            return { kind: "ConnectFailed" };
        case "AnswerLost":
        case "AnswerCut":
            return { kind: "AnswerLost", waitedMs, isTimeout };
        default:
            return { kind: "Abandoned" };
    }
};

/** Never rejects. An attempt that goes on beside open ones is given up if one of them answers first. */
export type TryTarget<Target extends RoutableTarget> = <Answer>(
    pick: TargetPick<Target>,
    execution: RequestExecution<Target>,
    attempt: Attempt<Target, Answer>,
    open: OpenAttempts<Answer>,
) => Promise<AttemptResult<Answer>>;

/** Creates the function that runs attempts. */
export const createTryTarget = <Target extends RoutableTarget>(clock: Clock): TryTarget<Target> => {
    /** An attempt that throws is a fault of this program; the request may be anywhere. */
    const runAttempt = async <Answer>(
        { target, progress }: TargetPick<Target>,
        { deadline, signal }: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<AttemptResult<Answer>> => {
        try {
            return await attempt(target, { deadline, signal, progress });
        }
        catch (error) {
            const failure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: describeError(error) } as const;
            const outcome = either.left(failure);
            return { outcome, load: undefined, retriedBelow: false };
        }
    };

    const tryTarget = async <Answer>(
        pick: TargetPick<Target>,
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<AttemptResult<Answer>> => {
        const sentAt = clock.monotonic();
        const result = await runAttempt(pick, execution, attempt);
        const now = clock.monotonic();
        if (either.isRight(result.outcome)) {
            // A run that failed for want of a call took as long as the call, which says nothing of its target.
            pick.report(
                result.isStarved === true ? { kind: "Abandoned" } : { kind: "Answered", latencyMs: now - sentAt },
                result.load,
            );
            return result;
        }
        const outcome: AttemptOutcome = execution.signal.aborted ?
            { kind: "Abandoned", waitedMs: now - sentAt } :
            toOutcome(
                { failure: result.outcome.left, load: result.load }, now - sentAt, now >= execution.deadline,
            );
        pick.report(outcome, result.load);
        return result;
    };

    return async <Answer>(
        pick: TargetPick<Target>,
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
        open: OpenAttempts<Answer>,
    ): Promise<AttemptResult<Answer>> => {
        if (open.isEmpty()) {
            return tryTarget(pick, execution, attempt);
        }
        const loser = new AbortController();
        const signal = AbortSignal.any([execution.signal, loser.signal]);
        const result = tryTarget(pick, { ...execution, signal }, attempt);
        const earlier = await Promise.race([result, open.answer().then((answer) => answer ?? result)]);
        open.add({ result, cancel: () => loser.abort() });
        return earlier;
    };
};
