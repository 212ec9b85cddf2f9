/** Runs one attempt at a picked target and reports its outcome to the picker. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, GateLoad, Milliseconds, RequestFailure } from "oleandergap-types";
import { describeError } from "oleandergap-utils";
import type { OpenAttempts } from "./openAttempts.js";
import type { Attempt, AttemptResult, RequestExecution } from "./requestExecution.js";
import type { AttemptOutcome, RoutableTarget, TargetPick } from "./target.js";

/**
 * Returns whether this node refused the request itself, because its deadline passed before it could be sent: in that
 * case, no load was reported. If such a refusal counted as a response of the target's node, it would readmit an
 * unreachable target, and requests would wait there again and again.
 */
const isRefusedLocally = (failure: RequestFailure, load: GateLoad | undefined): boolean =>
    failure.kind === "Refused" && failure.reason === "DeadlinePassed" && load === undefined;

const toOutcome = (
    { failure, load }: { readonly failure: RequestFailure; readonly load: GateLoad | undefined },
    waitedMs: Milliseconds,
    isTimeout: boolean,
): AttemptOutcome => {
    if (isRefusedLocally(failure, load)) {
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

/**
 * Runs an attempt. Never rejects. While earlier attempts of the request are still running, a response to one of them
 * cancels this attempt.
 */
export type RunAttempt<Target extends RoutableTarget> = <Answer>(
    pick: TargetPick<Target>,
    execution: RequestExecution<Target>,
    attempt: Attempt<Target, Answer>,
    openAttempts: OpenAttempts<Answer>,
) => Promise<AttemptResult<Answer>>;

/** Creates the function that runs attempts. */
export const createRunAttempt = <Target extends RoutableTarget>(clock: Clock): RunAttempt<Target> => {
    /**
     * Runs the attempt and converts an exception to a failure. An exception is a fault of this program. The request may
     * or may not have been sent, so the verdict is `mayHaveRun`.
     */
    const attemptWithoutThrowing = async <Answer>(
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
            return { outcome, load: undefined, retriedDownstream: false };
        }
    };

    const runAndReport = async <Answer>(
        pick: TargetPick<Target>,
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<AttemptResult<Answer>> => {
        const sentAt = clock.monotonic();
        const result = await attemptWithoutThrowing(pick, execution, attempt);
        const now = clock.monotonic();
        if (either.isRight(result.outcome)) {
            // A run that failed because its call was not served took as long as that call, so its latency does not
            // measure its target.
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
        openAttempts: OpenAttempts<Answer>,
    ): Promise<AttemptResult<Answer>> => {
        if (openAttempts.isEmpty()) {
            return runAndReport(pick, execution, attempt);
        }
        const cancellation = new AbortController();
        const signal = AbortSignal.any([execution.signal, cancellation.signal]);
        const result = runAndReport(pick, { ...execution, signal }, attempt);
        const firstResult = await Promise.race([result, openAttempts.answer().then((answer) => answer ?? result)]);
        openAttempts.add({ result, cancel: () => cancellation.abort() });
        return firstResult;
    };
};
