/**
 * Care for requests beside which targets have crashed: those that are contained are refused, and of the suspects one
 * at a time runs at the own target. Two that run side by side again would be blamed for the same crashes; one would see
 * a harmless read refused by the whole fleet because it was sent on together with the request that crashes targets.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Containment, Fingerprint, Judgement } from "oleandergap-containment";
import type { Clock, RequestFailure } from "oleandergap-types";
import { observeBody } from "../http/answer.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import { createSoleRuns, type EndTurn } from "./soleRuns.js";

/** The part of the containment that decides on requests. */
export type RequestJudge = Pick<Containment<never>, "hasSuspects" | "judge" | "retryAfter">;

/** Time after which a request may come back that had to wait for other suspects for too long. */
const RETRY_AFTER_MS = 1000;

const refuseWaiting = ({ signal }: GateRequest): RequestFailure => ({
    kind: "Refused",
    verdict: "notRun",
    reason: signal.aborted ? "Cancelled" : "QueueFull",
    retryAfterMs: RETRY_AFTER_MS,
});

/** The refusal of a request that is contained; undefined for any other. */
export const refuseContained = (judge: RequestJudge, judgement: Judgement): RequestFailure | undefined =>
    judgement.kind === "Contained" ?
        { kind: "Refused", verdict: "notRun", reason: "Contained", retryAfterMs: judge.retryAfter(judgement) } :
        undefined;

/** Looks a request up again just before it is sent: evidence may have come while it waited. */
export const createLastLook = (judge: RequestJudge) => (request: GateRequest): RequestFailure | undefined =>
    judge.hasSuspects() ?
        refuseContained(judge, judge.judge(fingerprintRequest(request, request.body))) :
        undefined;

/** Runs `serve` with the turn, which ends when the run does. */
const serveInTurn = async (serve: ServeAtGate, request: GateRequest, end: EndTurn): ReturnType<ServeAtGate> => {
    const outcome = await serve(request);
    if (either.isLeft(outcome)) {
        end();
        return outcome;
    }
    const { body } = outcome.right;
    return either.right({ ...outcome.right, body: observeBody(body, { onFinish: end }) });
};

/** Wraps `serve`; while nothing is held against any request, it is called as it is. */
export const createCarefulServe = (clock: Clock, judge: RequestJudge, serve: ServeAtGate): ServeAtGate => {
    const soleRuns = createSoleRuns(clock);

    const serveAlone = async (request: GateRequest, fingerprint: Fingerprint): ReturnType<ServeAtGate> => {
        const end = await soleRuns.take(request);
        if (end === undefined) {
            return either.left(refuseWaiting(request));
        }
        const refusal = refuseContained(judge, judge.judge(fingerprint));
        if (refusal !== undefined) {
            end();
            return either.left(refusal);
        }
        return serveInTurn(serve, request, end);
    };

    return async (request) => {
        if (!judge.hasSuspects() && !request.isSuspect) {
            return serve(request);
        }
        const fingerprint = fingerprintRequest(request, request.body);
        const judgement = judge.judge(fingerprint);
        const refusal = refuseContained(judge, judgement);
        if (refusal !== undefined) {
            return either.left(refusal);
        }
        return judgement.kind === "Free" && !request.isSuspect ? serve(request) : serveAlone(request, fingerprint);
    };
};
