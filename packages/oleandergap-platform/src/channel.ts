/**
 * Sends the requests of both platform adapters. The channel applies the read budget, manages the connections,
 * classifies each outcome, and updates the counters.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { DEFAULT_STORE_ERA, type Clock, type PlatformError, type StoreEra } from "oleandergap-types";
import type { TokenBucket } from "oleandergap-utils";
import { classifyExchange, toUnusableResponseError, type CallKind, type ResponseWithEra } from "./classifyExchange.js";
import type { EraError, EraWatch } from "./eraWatch.js";
import { runExchange, type ExchangeRequest, type ExchangeResult } from "./exchange.js";
import type { PlatformOptions } from "./options.js";
import { createPlatformCounters, type PlatformCounters } from "./platformCounters.js";
import { createReplaceablePool } from "./replaceablePool.js";

/** Era watch of the platform, and the response header from which it obtains the era. */
export interface EraSource {
    readonly watch: EraWatch;
    /** Lower-case name of the response header that contains the era. */
    readonly header: string;
}

/** Connection settings and the dependencies of a channel. */
export interface ChannelOptions extends PlatformOptions {
    readonly clock: Clock;
    /** Rate limit of reads: each read, scan, get or list takes one token. Writes are not limited here. */
    readonly readBudget?: TokenBucket;
    /**
     * Required for a platform that may be restored from a backup. Without it, all responses are treated as belonging
     * to the same era.
     */
    readonly eras?: EraSource;
    /** Closes the connections when it aborts. */
    readonly signal?: AbortSignal;
}

/** Access to both services of the platform over one set of connections. */
export interface Channel {
    /**
     * Sends one request. The promise never rejects. A response from an invalid or earlier era is treated as lost: a
     * read may have returned outdated data, and the effect of a write may be missing from the backup that the platform
     * was restored from.
     */
    readonly call: (
        kind: CallKind,
        request: ExchangeRequest,
        signal: AbortSignal,
    ) => Promise<Either<PlatformError, ResponseWithEra>>;
    /** Counts a response that was received but is unusable, and returns the resulting error of the call. */
    readonly rejectResponse: (kind: CallKind, detail: string) => PlatformError;
    readonly counters: () => PlatformCounters;
}

/** Maximum retry delay returned for a call that exceeds the read budget, in milliseconds. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Creates a channel. Connections are opened only when the first call is made. */
export const createChannel = (options: ChannelOptions): Channel => {
    const { readBudget, eras } = options;
    const counters = createPlatformCounters();
    const pool = createReplaceablePool(options, () => counters.add("connectionsReplaced"));

    const checkReadBudget = (kind: CallKind): PlatformError | undefined => {
        if (kind === "Write" || readBudget === undefined || readBudget.tryTake()) {
            return undefined;
        }
        return { kind: "OverBudget", retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.ceil(readBudget.timeToNext())) };
    };

    const countRequest = (kind: CallKind, request: ExchangeRequest): void => {
        counters.add(kind === "Read" ? "reads" : "writes");
        counters.add("bytesSent", Buffer.byteLength(request.body ?? ""));
    };

    const readEra = (kind: CallKind, result: ExchangeResult): Either<PlatformError, StoreEra> => {
        if (eras === undefined || result.kind !== "Answered") {
            return either.right(DEFAULT_STORE_ERA);
        }
        const headerValue = result.headers[eras.header];
        // Repeated headers are joined into a text that is not a valid era.
        const era = eras.watch.note(typeof headerValue === "object" ? headerValue.join(", ") : headerValue);
        return either.mapLeft(({ kind: reason }: EraError) =>
            toUnusableResponseError(kind, `answer out of its era: ${reason}`))(era);
    };

    const classifyResponse = (kind: CallKind, result: ExchangeResult): Either<PlatformError, ResponseWithEra> => {
        const response = classifyExchange(kind, result);
        if (either.isLeft(response)) {
            return response;
        }
        return either.map((era: StoreEra): ResponseWithEra => ({ ...response.right, era }))(readEra(kind, result));
    };

    const call: Channel["call"] = async (kind, request, signal) => {
        const budgetError = checkReadBudget(kind);
        if (budgetError !== undefined) {
            return either.left(counters.addError(budgetError));
        }
        countRequest(kind, request);
        const generation = pool.generation();
        const result = await runExchange(pool, request, options, signal);
        if (result.kind === "Lost" && result.hasTimedOut) {
            pool.replace(generation);
        }
        if (result.kind === "Answered") {
            counters.add("bytesReceived", result.body.length);
        }
        return either.mapLeft(counters.addError)(classifyResponse(kind, result));
    };

    return {
        call,
        rejectResponse: (kind, detail) => counters.addError(toUnusableResponseError(kind, detail)),
        counters: counters.read,
    };
};
