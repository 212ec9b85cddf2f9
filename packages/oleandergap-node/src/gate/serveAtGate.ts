/** From the gate to the own target: admission, claim, exchange, and the slot given back at the end. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Admission, ReleaseOutcome } from "oleandergap-gate";
import type { ClaimKeeper } from "oleandergap-idempotency";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { discardBody, observeBody, type Answer } from "../http/answer.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { TargetDialect, TargetRequest } from "../http/dialect.js";
import { FIRST_ERROR_STATUS } from "../http/requestEnd.js";
import { sendWatched } from "../http/watchedExchange.js";
import type { LocalTarget } from "../target/targetKeeper.js";
import { createClaimedRun } from "./claimedRun.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import { createLatencyMeter } from "./latencyMeter.js";
import type { WatchRun } from "./watchedRun.js";

export interface ServeAtGateDependencies {
    readonly clock: Clock;
    readonly currentTarget: () => LocalTarget | undefined;
    readonly pools: ConnectionPools;
    readonly claims: Pick<ClaimKeeper, "claim">;
    readonly dialect: TargetDialect;
    /** Largest answer that a claim keeps for repeats, in bytes. */
    readonly maxAnswerBytes: number;
    /** Least silence after which an idempotent request is tried on a new connection. */
    readonly minSilenceMs: Milliseconds;
    /** Longest silence within an answer's body. */
    readonly bodySilenceMs: Milliseconds;
    /** Whether a run of the own target that just ended in failure did so for want of a call; see `UnservedCalls`. */
    readonly explainFailure?: (startedAt: Milliseconds) => boolean;
    /** Watches the runs of the own target; without it, what becomes of the target tells nothing of a request. */
    readonly watchRun?: WatchRun;
    /** See `LoopLag`. */
    readonly catchUp?: () => Promise<void> | undefined;
}

type Outcome = Either<RequestFailure, Answer>;

/** A target that is silent for so many times what is unusual does not answer on that connection any more. */
const SILENCES_OF_A_LOSS = 2;

const refuseWithoutTarget: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "NoTarget",
    retryAfterMs: 1000,
};

const cancelled: RequestFailure = { kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 };

const isTargetOf = (target: LocalTarget, request: GateRequest): boolean =>
    target.announcement.partner === request.service.partner &&
    target.announcement.service === request.service.service;

const toReleaseOutcome = (failure: RequestFailure, signal: AbortSignal): ReleaseOutcome => {
    if (failure.verdict === "notRun") {
        return "NotStarted";
    }
    return signal.aborted ? "Cancelled" : "Lost";
};

/** Frees the slot when the answer is through, broken off or given up, whichever comes first. */
const releaseAtEnd = (answer: Answer, admission: Admission): Answer => ({
    ...answer,
    body: observeBody(answer.body, {
        onFinish: (failure) => admission.release(failure === undefined ? "Answered" : "Lost"),
    }),
});

/** A target that says that it did not run the request is believed; its answer's body is of no use. */
const readRefusal = (dialect: TargetDialect, outcome: Outcome): Outcome => {
    if (either.isLeft(outcome)) {
        return outcome;
    }
    const refusal = dialect.readRefusal(outcome.right.statusCode, outcome.right.headers);
    if (refusal === undefined) {
        return outcome;
    }
    discardBody(outcome.right);
    return either.left(refusal);
};

export const createServeAtGate = (dependencies: ServeAtGateDependencies): ServeAtGate => {
    const { clock, pools, dialect } = dependencies;
    const latency = createLatencyMeter();
    let tries = 0;

    const silenceLimit = (request: GateRequest): Milliseconds | undefined => {
        const unusual = latency.unusual();
        const limit = Math.max(dependencies.minSilenceMs, unusual ?? 0);
        const remaining = request.deadline - clock.monotonic();
        // A second try needs at least as much time as the first one had.
        return unusual === undefined || limit > remaining / 2 ? undefined : limit;
    };

    const sendToTarget = async (target: LocalTarget, request: GateRequest): Promise<Outcome> => {
        const { address, port, connections, instanceId } = target.announcement;
        const describe = (tryId: string): TargetRequest => ({
            headers: request.headers,
            caller: request.caller,
            tryId,
            remainingMs: Math.max(0, Math.floor(request.deadline - clock.monotonic())),
            instanceId,
        });
        const startedAt = clock.monotonic();
        const silenceMs = request.idempotent ? silenceLimit(request) : undefined;
        const watched = await sendWatched(clock, {
            method: request.method,
            path: request.path,
            body: request.body,
            requireId: false,
            awaitAdmission: false,
            bodySilenceMs: dependencies.bodySilenceMs,
            deadline: request.deadline,
            signal: request.signal,
            idempotent: request.idempotent,
            silenceMs,
            lossMs: silenceMs && silenceMs * SILENCES_OF_A_LOSS,
            takeDispatcher: () => pools.take(address, port, connections),
            renewConnections: () => pools.renew(address, port),
            nextRequestId: () => {
                tries++;
                return `${request.requestId}.${tries}`;
            },
            readFailure: ({ statusCode, headers }) => dialect.readRefusal(statusCode, headers),
            answerIdHeader: dialect.answerIdHeader,
            answerIdOf: (tryId) => dialect.expectAnswerId(describe(tryId)),
            headersOf: (tryId) => [
                "host", request.host,
                ...request.headers,
                ...dialect.describeRequest(describe(tryId)),
            ],
        });
        // There is no other target to turn to, so that the try that goes on is awaited.
        const outcome = await (watched.open?.outcome ?? watched.outcome);
        if (either.isRight(outcome)) {
            latency.add(clock.monotonic() - startedAt);
        }
        return readRefusal(dialect, outcome);
    };

    const markStarved = (outcome: Outcome, startedAt: Milliseconds): Outcome => {
        const isFailed = either.isRight(outcome) && outcome.right.statusCode >= FIRST_ERROR_STATUS;
        return isFailed && dependencies.explainFailure?.(startedAt) === true ?
            either.right({ ...outcome.right, isStarved: true }) :
            outcome;
    };

    const runClaimed = (target: LocalTarget): ServeAtGate => {
        const run: ServeAtGate = (request) => sendToTarget(target, request);
        return createClaimedRun(dependencies, dependencies.watchRun?.(target, run) ?? run);
    };

    return async (request) => {
        const target = dependencies.currentTarget();
        if (target === undefined || !isTargetOf(target, request)) {
            return either.left(refuseWithoutTarget);
        }
        const admission = await target.gate.admit({
            ...request.caller,
            priority: request.priority,
            kind: request.kind,
            deadline: request.deadline,
            objective: request.objective,
            signal: request.signal,
        });
        if (either.isLeft(admission)) {
            return admission;
        }
        const caughtUp = dependencies.catchUp?.();
        if (caughtUp !== undefined) {
            await caughtUp;
            if (request.signal.aborted) {
                admission.right.release("NotStarted");
                return either.left(cancelled);
            }
        }
        request.onAdmitted();
        const startedAt = clock.monotonic();
        const outcome = markStarved(await runClaimed(target)(request), startedAt);
        if (either.isLeft(outcome)) {
            admission.right.release(toReleaseOutcome(outcome.left, request.signal));
            return outcome;
        }
        return either.right(releaseAtEnd(outcome.right, admission.right));
    };
};
