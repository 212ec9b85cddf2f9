/**
 * Durable claims: a non-idempotent request with an idempotency key runs only after this process has inserted a row for
 * the key into the platform's table. No other process ever takes a claim over, so there is no lease that could expire
 * while its holder is frozen. If a holder is killed, repeats of the key fail with "may have run"; if a holder is
 * frozen, it still holds the claim when it resumes.
 */
import { setMaxListeners } from "node:events";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Clock,
    Milliseconds,
    NodeId,
    PartnerName,
    RequestFailure,
    ServiceName,
    TableService,
} from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";
import {
    acquireClaim,
    evaluateWithoutClaiming,
    type AcquireResult,
    type ClaimAttempt,
    type KnownOutcome,
} from "./acquireClaim.js";
import { createBatchReader } from "./batchReader.js";
import { createBatchWriter } from "./batchWriter.js";
import { formatClaimRowKey, parseIdempotencyKey } from "./claimKey.js";
import { checkKeyTime } from "./keyTime.js";
import type { ClaimedRow } from "./claimRow.js";
import { createUnavailableFailure } from "./failures.js";
import { createLocalClaims, evaluateLocalClaim, type Claim } from "./localClaims.js";
import { createPlatformCircuitBreaker } from "./platformCircuitBreaker.js";
import { createSettler } from "./settler.js";
import { waitForResponse, type ResponseWait } from "./waitForResponse.js";
import { waitUntil } from "./waitUntil.js";

export interface ClaimRequest {
    readonly partner: PartnerName;
    readonly service: ServiceName;
    /** Value of the `idempotency-key` header as received. */
    readonly key: string;
    /** See `computeFingerprint`. */
    readonly fingerprint: string;
    /** Monotonic time at which the caller stops waiting for a response. */
    readonly deadline: Milliseconds;
}

export type ClaimGrant = { readonly kind: "Granted"; readonly claim: Claim } | KnownOutcome;

export type ClaimResult = Either<RequestFailure, ClaimGrant>;

export interface ClaimStats {
    readonly granted: number;
    readonly refused: number;
    readonly duplicates: number;
    readonly replayed: number;
    /** Number of claims whose caller stopped waiting before they were decided; they are released in the background. */
    readonly abandoned: number;
    readonly pendingOutcomes: number;
    readonly transactions: number;
    readonly reads: number;
}

export interface ClaimManager {
    /** Claims the key of a request. `signal` aborts when the caller disconnects. */
    readonly claim: (request: ClaimRequest, signal: AbortSignal) => Promise<ClaimResult>;
    /** Reads the key's row without claiming the key: returns a known outcome, or the failure that it may have run. */
    readonly lookUp: (request: ClaimRequest, signal: AbortSignal) => Promise<ClaimResult>;
    /** Resolves when all outcomes are recorded, or when `signal` aborts. */
    readonly drain: (signal: AbortSignal) => Promise<void>;
    readonly stats: () => ClaimStats;
}

export interface ClaimManagerDependencies {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly nodeId: NodeId;
    /** Id that is unique to each start of the process; it makes the attempt ids unique. */
    readonly bootId: string;
    readonly logger: Logger;
    readonly options: ClaimOptions;
    /** Stops all background work when it aborts. */
    readonly signal: AbortSignal;
}

const chooseCounter = (result: ClaimResult): "granted" | "refused" | "duplicates" | "replayed" => {
    if (either.isRight(result)) {
        return result.right.kind === "Granted" ? "granted" : "replayed";
    }
    return result.left.kind === "DuplicateKey" ? "duplicates" : "refused";
};

/** Returns whether the claim's row may exist now or appear later although its request will not run. */
const mayBlockKey = (attempt: ClaimAttempt, acquired: AcquireResult): boolean =>
    acquired.kind === "Held" || (acquired.kind === "Failed" && attempt.mayRowExist);

/**
 * Returns a signal without a limit on listeners. Each waiting retry adds a listener, and Node.js would warn of a leak
 * from the eleventh listener on.
 */
const createLifetimeSignal = (signal: AbortSignal): AbortSignal => {
    const lifetimeSignal = AbortSignal.any([signal]);
    setMaxListeners(0, lifetimeSignal);
    return lifetimeSignal;
};

export const createClaimManager = (baseDependencies: ClaimManagerDependencies): ClaimManager => {
    const dependencies = { ...baseDependencies, signal: createLifetimeSignal(baseDependencies.signal) };
    const { clock, nodeId, bootId, options } = dependencies;
    const reader = createBatchReader(dependencies);
    const circuitBreaker = createPlatformCircuitBreaker(dependencies);
    const writer = createBatchWriter({ ...dependencies, onResponse: circuitBreaker.reportSuccess });
    const settler = createSettler({ ...dependencies, reader, writer, circuitBreaker });
    const claims = createLocalClaims({ ...dependencies, settler });
    const counts = { granted: 0, refused: 0, duplicates: 0, replayed: 0, abandoned: 0 };
    let attempts = 0;

    const createRow = (fingerprint: string): ClaimedRow => {
        attempts += 1;
        const attemptId = `${nodeId}:${bootId}:${attempts}`;
        return { attemptId, nodeId, bootId, fingerprint, claimedAt: clock.now(), state: "claimed" };
    };

    const createUnavailableResult = (): ClaimResult =>
        either.left(createUnavailableFailure(Math.max(options.retryPauseMs, circuitBreaker.remainingOpenTime())));

    /**
     * The response deadline counts from the platform's last response to any claim, because a claim that waits in the
     * queue for earlier claims does not indicate an outage.
     */
    const createWait = (
        { deadline }: ClaimRequest,
        signal: AbortSignal,
        lastResponseAt: () => Milliseconds,
    ): ResponseWait => ({
        deadline,
        getResponseDeadline: () =>
            Math.max(lastResponseAt(), circuitBreaker.lastResponseAt()) + options.answerTimeoutMs,
        clock,
        signal,
    });

    const acquire = async (rowKey: string, request: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> => {
        const row = createRow(request.fingerprint);
        const startedAt = clock.monotonic();
        const attempt: ClaimAttempt =
            { rowKey, row, startedAt, lastResponseAt: startedAt, mayRowExist: false, abandoned: false };
        const entry = claims.open(rowKey, request.fingerprint);
        const work = acquireClaim(attempt, { ...dependencies, reader, writer, circuitBreaker });
        const waitResult = await waitForResponse(work, createWait(request, signal, () => attempt.lastResponseAt));
        if (waitResult.kind !== "Finished") {
            attempt.abandoned = true;
            counts.abandoned += 1;
            const mustRelease = work.then((acquired) => mayBlockKey(attempt, acquired));
            claims.settle(rowKey, entry, { ...row, state: "released" }, mustRelease);
            if (waitResult.kind === "Silent") {
                circuitBreaker.reportFailure(startedAt);
                return createUnavailableResult();
            }
            return either.left(waitResult.failure);
        }
        const acquired = waitResult.value;
        if (acquired.kind === "Held") {
            return either.right({ kind: "Granted", claim: claims.createClaim(rowKey, entry, row, request.deadline) });
        }
        claims.remove(rowKey);
        return acquired.kind === "Failed" ? either.left(acquired.failure) : either.right(acquired);
    };

    /** Decides from the claims in memory; resolves to undefined when the key must be claimed in the table. */
    const checkLocal = async (
        rowKey: string,
        request: ClaimRequest,
        signal: AbortSignal,
    ): Promise<ClaimResult | undefined> => {
        for (let entry = claims.get(rowKey); entry !== undefined; entry = claims.get(rowKey)) {
            const decided = evaluateLocalClaim(entry, request.fingerprint, options.duplicateRetryAfterMs);
            if (decided !== undefined) {
                return decided;
            }
            if (circuitBreaker.remainingOpenTime() > 0) {
                return createUnavailableResult();
            }
            const startedAt = clock.monotonic();
            const wait = createWait(request, signal, () => startedAt);
            const waitResult = await waitForResponse(entry.settled ?? Promise.resolve(), wait);
            if (waitResult.kind !== "Finished") {
                return waitResult.kind === "Silent" ? createUnavailableResult() : either.left(waitResult.failure);
            }
        }
        return undefined;
    };

    const decide = async (rowKey: string, request: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> => {
        const decided = claims.get(rowKey) === undefined ? undefined : await checkLocal(rowKey, request, signal);
        if (decided !== undefined) {
            return decided;
        }
        if (claims.pendingOutcomes() >= options.maxPendingOutcomes || !circuitBreaker.tryAcquire()) {
            return createUnavailableResult();
        }
        return acquire(rowKey, request, signal);
    };

    const claim = async (request: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> => {
        const key = either.chain((parsed: string) => checkKeyTime(parsed, clock.now(), options))(
            parseIdempotencyKey(request.key),
        );
        const result = either.isLeft(key) ?
            key :
            await decide(formatClaimRowKey(request, key.right), request, signal);
        counts[chooseCounter(result)] += 1;
        return result;
    };

    const lookUp: ClaimManager["lookUp"] = async (request, signal) => {
        const pendingRead = reader.read(formatClaimRowKey(request, request.key));
        const found = await waitUntil(pendingRead, request.deadline, clock, signal);
        const row = found.kind === "Finished" && either.isRight(found.value) ? found.value.right : undefined;
        return evaluateWithoutClaiming(row?.value, request.fingerprint, options.duplicateRetryAfterMs);
    };

    return {
        claim,
        lookUp,
        drain: claims.drain,
        stats: () => ({
            ...counts,
            pendingOutcomes: claims.pendingOutcomes(),
            transactions: writer.transactions(),
            reads: reader.calls(),
        }),
    };
};
