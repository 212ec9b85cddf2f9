/** Runs requests at the own target, and takes in what their ends tell of them and of the target. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { observeBody, type Answer } from "../http/answer.js";
import { FIRST_ERROR_STATUS } from "../http/requestEnd.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTarget } from "../target/targetKeeper.js";
import type { CrashWatch, RunEnd, WatchedRun } from "./crashWatch.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import type { LostRun } from "./lostRunLog.js";

/** What watching a run works with. */
export interface WatchRunDependencies {
    readonly clock: Clock;
    readonly crashWatch: CrashWatch;
    /** Why a request may not be sent, asked just before. */
    readonly findObstacle: (request: GateRequest) => RequestFailure | undefined;
    /** The own target answered a request whole, and not with an error of its own. */
    readonly noteGoodRun: (request: GateRequest) => void;
    readonly logLostRun: (run: LostRun) => void;
}

/** Wraps the function that sends requests to `target`. */
export type WatchRun = (target: LocalTarget, run: ServeAtGate) => ServeAtGate;

/** What the caller or the deadline brought about says nothing of the target, which may still be at work. */
const wasGivenUp = ({ signal, deadline }: GateRequest, now: Milliseconds): boolean =>
    signal.aborted || now >= deadline;

/** Creates the wrapper. */
export const createWatchRun = (dependencies: WatchRunDependencies): WatchRun => {
    const { clock, crashWatch, findObstacle, noteGoodRun, logLostRun } = dependencies;

    const judgeBreak = (request: GateRequest): RunEnd => wasGivenUp(request, clock.monotonic()) ? "GivenUp" : "Lost";

    const watchBody = (request: GateRequest, answer: Answer, run: WatchedRun): Answer => ({
        ...answer,
        body: observeBody(answer.body, {
            onFinish: (failure) => {
                void run.end(failure === undefined ? "Over" : judgeBreak(request));
                if (failure === undefined && answer.statusCode < FIRST_ERROR_STATUS) {
                    noteGoodRun(request);
                }
            },
        }),
    });

    const endFailed = async (
        { announcement }: LocalTarget,
        request: GateRequest,
        failure: RequestFailure,
        { run, startedAt }: { readonly run: WatchedRun; readonly startedAt: Milliseconds },
    ): Promise<RequestFailure> => {
        if (failure.kind !== "AnswerLost") {
            await run.end("Over");
            return failure;
        }
        const how = judgeBreak(request);
        const ranMs = clock.monotonic() - startedAt;
        const crash = await run.end(how);
        if (how === "Lost") {
            logLostRun({
                fingerprint: fingerprintRequest(request, request.body),
                attempt: request.requestId,
                instance: announcement.instanceId,
                ranMs,
                crash,
                detail: failure.detail,
            });
        }
        return { ...failure, crash };
    };

    return (target, send) => async (request) => {
        const obstacle = findObstacle(request);
        if (obstacle !== undefined) {
            return either.left(obstacle);
        }
        const startedAt = clock.monotonic();
        const run = crashWatch.begin(target, request);
        const outcome = await send(request);
        return either.isLeft(outcome) ?
            either.left(await endFailed(target, request, outcome.left, { run, startedAt })) :
            either.right(watchBody(request, outcome.right, run));
    };
};
