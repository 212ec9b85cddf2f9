/**
 * Protects the local target from requests that are suspected of crashing targets. Contained requests are refused, and
 * suspect requests run one at a time. If two suspects ran concurrently, the same crash would count as evidence against
 * both of them again, and the whole fleet could end up refusing a harmless read that was retried together with the
 * crashing request.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Containment, Fingerprint, Judgement } from "oleandergap-containment";
import type { Clock, RequestFailure } from "oleandergap-types";
import { observeBody } from "../http/upstreamResponse.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import { createAsyncMutex, type ReleaseLock } from "./asyncMutex.js";

/** The methods of the containment that decide whether a request may run. */
export type ContainmentQueries = Pick<Containment<never>, "hasSuspects" | "judge" | "retryAfter">;

/** Retry delay for a suspect request that was refused because it waited too long for other suspects. */
const RETRY_AFTER_MS = 1000;

const createQueueRefusal = ({ signal }: GateRequest): RequestFailure => ({
    kind: "Refused",
    verdict: "notRun",
    reason: signal.aborted ? "Cancelled" : "QueueFull",
    retryAfterMs: RETRY_AFTER_MS,
});

/** Returns the refusal if the request is contained, undefined otherwise. */
export const createContainedRefusal = (
    containment: ContainmentQueries,
    judgement: Judgement,
): RequestFailure | undefined =>
    judgement.kind === "Contained" ?
        { kind: "Refused", verdict: "notRun", reason: "Contained", retryAfterMs: containment.retryAfter(judgement) } :
        undefined;

/**
 * Creates a check that runs just before a request is sent, because new evidence may have arrived while the request
 * waited for admission.
 */
export const createContainmentCheck = (
    containment: ContainmentQueries,
) => (request: GateRequest): RequestFailure | undefined =>
    containment.hasSuspects() ?
        createContainedRefusal(containment, containment.judge(fingerprintRequest(request, request.body))) :
        undefined;

/** Calls `serve` and releases the lock when the request has failed or the response body has ended. */
const serveAndRelease = async (
    serve: ServeAtGate,
    request: GateRequest,
    release: ReleaseLock,
): ReturnType<ServeAtGate> => {
    const outcome = await serve(request);
    if (either.isLeft(outcome)) {
        release();
        return outcome;
    }
    const { body } = outcome.right;
    return either.right({ ...outcome.right, body: observeBody(body, { onFinish: release }) });
};

/** Wraps `serve` with the containment checks. Calls it directly while no request is suspect. */
export const createContainmentGuard = (
    clock: Clock,
    containment: ContainmentQueries,
    serve: ServeAtGate,
): ServeAtGate => {
    const suspectMutex = createAsyncMutex(clock);

    const serveSuspect = async (request: GateRequest, fingerprint: Fingerprint): ReturnType<ServeAtGate> => {
        const release = await suspectMutex.acquire(request);
        if (release === undefined) {
            return either.left(createQueueRefusal(request));
        }
        const refusal = createContainedRefusal(containment, containment.judge(fingerprint));
        if (refusal !== undefined) {
            release();
            return either.left(refusal);
        }
        return serveAndRelease(serve, request, release);
    };

    return async (request) => {
        if (!containment.hasSuspects() && !request.isSuspect) {
            return serve(request);
        }
        const fingerprint = fingerprintRequest(request, request.body);
        const judgement = containment.judge(fingerprint);
        const refusal = createContainedRefusal(containment, judgement);
        if (refusal !== undefined) {
            return either.left(refusal);
        }
        return judgement.kind === "Free" && !request.isSuspect ? serve(request) : serveSuspect(request, fingerprint);
    };
};
