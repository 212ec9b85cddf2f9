/**
 * Sends a request with a deadline, an abort signal and an inactivity timeout.
 *
 * A request on a connection whose state was lost by a device between the two ends gets neither a response nor an error,
 * and would run into its deadline although the target is healthy. If no heartbeat arrives within the inactivity
 * timeout, an idempotent request is therefore sent once more over a new connection to the same target. Only if the
 * second attempt gets no heartbeat either, the target counts as unresponsive. If the target has already been
 * unresponsive for other requests, there is no second attempt, because it would only delay the request.
 *
 * Both attempts stay open in the meantime. Heartbeats are also late when the other process has event loop lag or a link
 * is congested, while the target is processing the request. If an attempt was aborted at its first inactivity timeout,
 * a running request could be cut off and reported to its caller as lost. A connection counts as lost only after a
 * longer time without any heartbeat.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, RequestFailure } from "oleandergap-types";
import {
    ABORT_DETAILS,
    startAttempt,
    type AttemptOutcome,
    type MonitoredAttempt,
    type MonitoredRequest,
    type PendingAttempt,
} from "./monitoredAttempt.js";
import { getAbortCause } from "./openRequests.js";
import { isReplayable } from "./requestBody.js";
import { discardBody } from "./upstreamResponse.js";

/** Result of a request for its sender. */
export interface MonitoredOutcome {
    readonly outcome: AttemptOutcome;
    /**
     * Present when the inactivity timeout has expired: a response may still arrive while the request is sent to other
     * targets.
     */
    readonly open?: PendingAttempt;
}

/**
 * Returns the failure of an outcome. A refusal by the remote side arrives as a response. If it was treated as the
 * response to the request, its verdict `notRun` would be reported although an earlier attempt may have run.
 */
const findFailure = (outcome: AttemptOutcome, { readFailure }: MonitoredRequest): RequestFailure | undefined =>
    either.isLeft(outcome) ? outcome.left : readFailure(outcome.right);

const discardResponse = (outcome: AttemptOutcome): void => {
    if (either.isRight(outcome)) {
        discardBody(outcome.right);
    }
};

/**
 * Returns the outcome for an expired inactivity timeout, together with the open attempt. The sender may send the
 * request to other targets and then awaits or cancels the open attempt.
 */
const toOpenOutcome = (open: PendingAttempt): MonitoredOutcome => ({
    outcome: either.left({ kind: "AnswerLost", verdict: "mayHaveRun", detail: ABORT_DETAILS.Silent }),
    open,
});

/**
 * Returns the first successful outcome of two attempts. When both fail, returns the failure whose verdict covers both.
 */
const selectOutcome = async (
    first: PendingAttempt,
    second: PendingAttempt,
    request: MonitoredRequest,
): Promise<AttemptOutcome> => {
    const [earlier, other] = await Promise.race([
        first.outcome.then((outcome) => [outcome, second] as const),
        second.outcome.then((outcome) => [outcome, first] as const),
    ]);
    if (findFailure(earlier, request) === undefined) {
        other.cancel();
        void other.outcome.then(discardResponse);
        return earlier;
    }
    const later = await other.outcome;
    const hasRun = findFailure(later, request)?.verdict !== "notRun";
    discardResponse(hasRun ? earlier : later);
    return hasRun ? later : earlier;
};

/** Combines two attempts into one, so that they can be awaited or cancelled together. */
const combineAttempts = (first: PendingAttempt, second: PendingAttempt, request: MonitoredRequest): PendingAttempt => ({
    outcome: selectOutcome(first, second, request),
    cancel: () => {
        first.cancel();
        second.cancel();
    },
});

/** Resolves when the second attempt at a target was unresponsive, or failed while the first one is still open. */
const waitUntilStalled = async (
    first: MonitoredAttempt,
    second: MonitoredAttempt,
    request: MonitoredRequest,
): Promise<"Silent"> => {
    const failed = second.outcome.then((outcome) =>
        findFailure(outcome, request) === undefined || first.hasEnded() ? new Promise<never>(() => undefined) : "Silent");
    return Promise.race([second.silence, failed]);
};

/** Returns the refusal of a request whose sender has left, or whose node stops, before anything was sent. */
const refuseAborted = (signal: AbortSignal): AttemptOutcome => either.left({
    kind: "Refused",
    verdict: "notRun",
    reason: getAbortCause(signal) === "NodeStopping" ? "Draining" : "Cancelled",
    retryAfterMs: 0,
});

/** Sends `request`, at most twice and the second time only if it is idempotent. Never rejects. */
export const sendMonitored = async (clock: Clock, request: MonitoredRequest): Promise<MonitoredOutcome> => {
    if (request.signal.aborted) {
        return { outcome: refuseAborted(request.signal) };
    }
    const first = startAttempt(clock, request);
    if (!request.idempotent || request.silenceMs === undefined) {
        return { outcome: await first.outcome };
    }
    const settled = await Promise.race([first.outcome, first.silence]);
    if (settled !== "Silent") {
        return { outcome: settled };
    }
    if (!isReplayable(request.body)) {
        return { outcome: await first.outcome };
    }
    if (first.isPointless()) {
        return toOpenOutcome(first);
    }
    if (request.signal.aborted) {
        return { outcome: await first.outcome };
    }
    const second = startAttempt(clock, request);
    const both = combineAttempts(first, second, request);
    const outcome = await Promise.race([both.outcome, waitUntilStalled(first, second, request)]);
    return outcome === "Silent" ? toOpenOutcome(both) : { outcome };
};
