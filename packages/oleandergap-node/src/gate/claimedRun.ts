/** Runs a request under an idempotency claim, if it needs one, and settles the claim with the outcome. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { computeFingerprint, type Claim, type ClaimGrant, type ClaimManager } from "oleandergap-idempotency";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { createBufferedBody, observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import { flattenResponseHeaders, readHeaderPair } from "../http/headers.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";

/** Response header that marks a replay of the response to the first request with the same key. */
export const REPLAYED_HEADER = "idempotency-replayed";

/** Share of a request's remaining time that is reserved for returning the refusal of its claim to the gateway. */
const REFUSAL_TRANSIT_SHARE = 0.25;
/** Upper bound of that reserved time. It covers several stalls of an event loop. */
const MAX_REFUSAL_TRANSIT_MS = 100;

type Outcome = Either<RequestFailure, UpstreamResponse>;
type RecordedOutcome = Exclude<ClaimGrant, { readonly kind: "Granted" }>;

const readContentLength = (request: GateRequest): number | undefined => {
    switch (request.body.kind) {
        case "Empty":
            return 0;
        case "Buffered":
            return request.body.bytes.length;
        case "Streaming":
            return request.body.length;
    }
};

const computeRequestFingerprint = (request: GateRequest): string => computeFingerprint({
    method: request.method,
    path: request.path,
    customer: request.customer,
    contentType: readHeaderPair(request.headers, "content-type"),
    contentLength: readContentLength(request),
    body: request.body.kind === "Buffered" ? request.body.bytes : undefined,
});

const replayOutcome = (recorded: RecordedOutcome): Outcome =>
    recorded.kind === "Replay" ?
        either.right({
            statusCode: recorded.answer.status,
            headers: { ...Object.fromEntries(recorded.answer.headers), [REPLAYED_HEADER]: "true" },
            body: createBufferedBody(Buffer.from(recorded.answer.body)),
        }) :
        either.left({
            kind: "AnswerCut",
            verdict: "ran",
            detail: `the first request with this key was answered with status ${recorded.status}`,
        });

/** Buffers the response body while it is forwarded, up to a limit, so that it can be replayed for the same key. */
const recordResponse = (claim: Claim, response: UpstreamResponse, maxResponseBytes: number): UpstreamResponse => {
    const headers = flattenResponseHeaders(response.headers);
    let chunks: Buffer[] = [];
    let collectedBytes = 0;
    return {
        ...response,
        body: observeBody(response.body, {
            onChunk: (chunk) => {
                collectedBytes += chunk.length;
                if (collectedBytes <= maxResponseBytes) {
                    chunks.push(chunk);
                }
                else {
                    chunks = [];
                }
            },
            onFinish: (failure) => {
                const isComplete = failure === undefined && collectedBytes <= maxResponseBytes;
                claim.complete({
                    status: response.statusCode,
                    headers,
                    body: isComplete ? Buffer.concat(chunks) : undefined,
                });
            },
        }),
    };
};

const settleClaim = (claim: Claim, outcome: Outcome, maxResponseBytes: number): Outcome => {
    if (either.isRight(outcome)) {
        return either.right(recordResponse(claim, outcome.right, maxResponseBytes));
    }
    if (outcome.left.verdict === "notRun") {
        claim.release();
    }
    else {
        claim.leaveOpen();
    }
    return outcome;
};

/**
 * Returns the time by which a claim must be decided, which is earlier than the request's deadline. If both were the
 * same, this node and the gateway would time out together. The gateway has no information beyond the fact that the
 * request was sent, so it would report "may have run" for a request that never reached a target. A request that is
 * running keeps its whole time, because no more precise outcome can be reported before its deadline.
 */
const computeClaimDeadline = (deadline: Milliseconds, now: Milliseconds): Milliseconds =>
    deadline - Math.min(MAX_REFUSAL_TRANSIT_MS, Math.max(0, deadline - now) * REFUSAL_TRANSIT_SHARE);

export interface ClaimedRunDependencies {
    readonly claims: Pick<ClaimManager, "claim">;
    readonly clock: Clock;
    /** Maximum size of a response body that a claim stores for replays, in bytes. */
    readonly maxAnswerBytes: number;
}

/** Wraps `run` so that a non-idempotent request with an idempotency key runs only while it holds a claim on the key. */
export const createClaimedRun = (
    { claims, clock, maxAnswerBytes }: ClaimedRunDependencies,
    run: ServeAtGate,
): ServeAtGate =>
    async (request) => {
        if (request.idempotencyKey === undefined || request.idempotent) {
            return run(request);
        }
        const result = await claims.claim({
            ...request.service,
            key: request.idempotencyKey,
            fingerprint: computeRequestFingerprint(request),
            deadline: computeClaimDeadline(request.deadline, clock.monotonic()),
        }, request.signal);
        if (either.isLeft(result)) {
            return result;
        }
        if (result.right.kind !== "Granted") {
            return replayOutcome(result.right);
        }
        const { claim } = result.right;
        if (!claim.mayStart()) {
            claim.release();
            return either.left({ kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 });
        }
        return settleClaim(claim, await run(request), maxAnswerBytes);
    };
