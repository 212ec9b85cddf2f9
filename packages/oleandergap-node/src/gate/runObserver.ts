/** Runs requests at the local target and reports successful, lost and crashed runs. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import { FIRST_ERROR_STATUS } from "../http/requestResult.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTarget } from "../target/localTarget.js";
import type { CrashDetector, RunEnd, ObservedRun } from "./crashDetector.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import type { LostRun } from "./lostRunLog.js";

/** Dependencies of the run observer. */
export interface RunObserverDependencies {
    readonly clock: Clock;
    readonly crashDetector: CrashDetector;
    /** Returns the refusal if the request must not be sent. Called just before sending. */
    readonly findRefusal: (request: GateRequest) => RequestFailure | undefined;
    /** Called when the local target sent a complete response that is not an error. */
    readonly recordGoodRun: (request: GateRequest) => void;
    readonly logLostRun: (run: LostRun) => void;
}

/** Wraps `run`, the function that sends requests to `target`. */
export type ObserveRun = (target: LocalTarget, run: ServeAtGate) => ServeAtGate;

/**
 * Returns whether the caller or the deadline ended the request. Such an end gives no information about the target,
 * which may still be running the request.
 */
const wasAborted = ({ signal, deadline }: GateRequest, now: Milliseconds): boolean =>
    signal.aborted || now >= deadline;

/** Creates the function that wraps runs with observation. */
export const createRunObserver = (dependencies: RunObserverDependencies): ObserveRun => {
    const { clock, crashDetector, findRefusal, recordGoodRun, logLostRun } = dependencies;

    const classifyInterruption = (request: GateRequest): RunEnd =>
        wasAborted(request, clock.monotonic()) ? "Aborted" : "Lost";

    const observeResponse = (request: GateRequest, response: UpstreamResponse, run: ObservedRun): UpstreamResponse => ({
        ...response,
        body: observeBody(response.body, {
            onFinish: (failure) => {
                void run.end(failure === undefined ? "Completed" : classifyInterruption(request));
                if (failure === undefined && response.statusCode < FIRST_ERROR_STATUS) {
                    recordGoodRun(request);
                }
            },
        }),
    });

    const endFailedRun = async (
        { announcement }: LocalTarget,
        request: GateRequest,
        failure: RequestFailure,
        { run, startedAt }: { readonly run: ObservedRun; readonly startedAt: Milliseconds },
    ): Promise<RequestFailure> => {
        if (failure.kind !== "AnswerLost") {
            await run.end("Completed");
            return failure;
        }
        const runEnd = classifyInterruption(request);
        const ranMs = clock.monotonic() - startedAt;
        const crash = await run.end(runEnd);
        if (runEnd === "Lost") {
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
        const refusal = findRefusal(request);
        if (refusal !== undefined) {
            return either.left(refusal);
        }
        const startedAt = clock.monotonic();
        const run = crashDetector.startRun(target, request);
        const outcome = await send(request);
        return either.isLeft(outcome) ?
            either.left(await endFailedRun(target, request, outcome.left, { run, startedAt })) :
            either.right(observeResponse(request, outcome.right, run));
    };
};
