/** Takes part in roll-outs at the gate: refuses requests for a stopped version, and records outcomes at the target. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Rollouts, RunOutcome } from "oleandergap-rollout";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { HTTP_STATUS } from "../http/refusal.js";
import { FIRST_ERROR_STATUS } from "../http/requestResult.js";
import { observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { LocalTarget } from "../target/localTarget.js";
import type { GateRequest } from "./gateRequest.js";

type Outcome = Either<RequestFailure, UpstreamResponse>;

/** Takes part in roll-outs for the requests at one gate. */
export interface RolloutObserver {
    /** Returns the refusal if the target's version was stopped; undefined otherwise. */
    readonly findRefusal: (target: LocalTarget) => RequestFailure | undefined;
    /** Records the outcome of a run that started at `startedAt`, when its response is complete. */
    readonly observeOutcome: (
        target: LocalTarget,
        request: GateRequest,
        outcome: Outcome,
        startedAt: Milliseconds,
    ) => Outcome;
}

/** Dependencies of a rollout observer. */
export interface RolloutObserverDependencies {
    readonly clock: Clock;
    readonly rollouts: Pick<Rollouts<never>, "hasRollouts" | "mayServe" | "recordRun">;
    /** Duration of a target's cold start. Latencies during that time say nothing about its version. */
    readonly coldStartMs: Milliseconds;
}

/** Delay after which the gateway has received the state of the roll-out. */
const RETRY_AFTER_MS: Milliseconds = 200;

const stoppedVersionRefusal: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "NoTarget",
    retryAfterMs: RETRY_AFTER_MS,
};

/** Returns the remaining time of a target's cold start. */
export const getColdTimeLeft = ({ since }: LocalTarget, clock: Clock, coldStartMs: Milliseconds): Milliseconds =>
    Math.max(0, since + coldStartMs - clock.now());

/** Creates the observer of a node's gate. */
export const createRolloutObserver = (
    { clock, rollouts, coldStartMs }: RolloutObserverDependencies,
): RolloutObserver => {
    const record = (target: LocalTarget, { kind }: GateRequest, outcome: Omit<RunOutcome, "kind">): void => {
        const isCold = getColdTimeLeft(target, clock, coldStartMs) > 0;
        const { latencyMs } = outcome;
        rollouts.recordRun(target.announcement, { ...outcome, kind, latencyMs: isCold ? undefined : latencyMs });
    };

    /** Returns whether the caller left. How long the target would have taken is then unknown. */
    const hasCallerLeft = ({ signal, deadline }: GateRequest): boolean =>
        signal.aborted && clock.monotonic() < deadline;

    const recordLostRun = (target: LocalTarget, request: GateRequest, startedAt: Milliseconds): void => {
        if (hasCallerLeft(request)) {
            return;
        }
        const now = clock.monotonic();
        const isTimeout = now >= request.deadline;
        record(target, request, { isFailure: !isTimeout, latencyMs: isTimeout ? now - startedAt : undefined });
    };

    return {
        findRefusal: ({ announcement }) =>
            !rollouts.hasRollouts() || rollouts.mayServe(announcement, announcement.version) ?
                undefined :
                stoppedVersionRefusal,
        observeOutcome: (target, request, outcome, startedAt) => {
            if (!rollouts.hasRollouts()) {
                return outcome;
            }
            if (either.isLeft(outcome)) {
                if (outcome.left.verdict !== "notRun") {
                    recordLostRun(target, request, startedAt);
                }
                return outcome;
            }
            const { statusCode, isStarved, body } = outcome.right;
            if (isStarved === true) {
                return outcome;
            }
            const latencyMs = clock.monotonic() - startedAt;
            // A response with a timeout shows that the target was slow, not that it failed.
            const isFailure = statusCode >= FIRST_ERROR_STATUS && statusCode !== HTTP_STATUS.gatewayTimeout;
            return either.right({
                ...outcome.right,
                body: observeBody(body, {
                    onFinish: (failure) => {
                        if (failure === undefined) {
                            record(target, request, { isFailure, latencyMs: isFailure ? undefined : latencyMs });
                            return;
                        }
                        recordLostRun(target, request, startedAt);
                    },
                }),
            });
        },
    };
};
