/**
 * The calls to the platform, shared by the adapters of both services: budget, connections, outcome and counters.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { DEFAULT_STORE_ERA, type Clock, type PlatformError, type StoreEra } from "oleandergap-types";
import type { TokenBucket } from "oleandergap-utils";
import { classifyExchange, toMissingAnswer, type CallKind, type DatedAnswer } from "./classifyExchange.js";
import type { EraError, EraWatch } from "./eraWatch.js";
import { runExchange, type ExchangeRequest, type ExchangeResult } from "./exchange.js";
import type { PlatformOptions } from "./options.js";
import { createPlatformCounters, type PlatformCounters } from "./platformCounters.js";
import { createReplaceablePool } from "./replaceablePool.js";

/** How the platform tells its era. */
export interface EraSource {
    readonly watch: EraWatch;
    /** Lower-case name of the header that names it in each answer. */
    readonly header: string;
}

/** Settings of the connections, and what they work with. */
export interface ChannelOptions extends PlatformOptions {
    readonly clock: Clock;
    /** Takes one token for each read, scan, get or list; writes are not limited here. */
    readonly readBudget?: TokenBucket;
    /** For a platform that may be restored from a copy; all answers count as of one era without it. */
    readonly eras?: EraSource;
    /** Closes the connections when it aborts. */
    readonly signal?: AbortSignal;
}

/** Both services of the platform over one set of connections. */
export interface Channel {
    /**
     * Never rejects. An answer out of its era counts as lost: what it reads is no news, and what it wrote may or may
     * not be in the copy that the platform was restored from.
     */
    readonly call: (
        kind: CallKind,
        request: ExchangeRequest,
        signal: AbortSignal,
    ) => Promise<Either<PlatformError, DatedAnswer>>;
    /** Counts an answer that arrived and could not be used, and says what it means for its call. */
    readonly rejectAnswer: (kind: CallKind, detail: string) => PlatformError;
    readonly counters: () => PlatformCounters;
}

/** Longest time after which a call over budget is told to come back, in milliseconds. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Opens no connection before the first call. */
export const createChannel = (options: ChannelOptions): Channel => {
    const { readBudget, eras } = options;
    const counters = createPlatformCounters();
    const pool = createReplaceablePool(options, () => counters.add("connectionsReplaced"));

    const takeFromBudget = (kind: CallKind): PlatformError | undefined => {
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
        const text = result.headers[eras.header];
        // Several headers make one text that is no era.
        const era = eras.watch.note(typeof text === "object" ? text.join(", ") : text);
        return either.mapLeft(({ kind: reason }: EraError) =>
            toMissingAnswer(kind, `answer out of its era: ${reason}`))(era);
    };

    const judge = (kind: CallKind, result: ExchangeResult): Either<PlatformError, DatedAnswer> => {
        const answer = classifyExchange(kind, result);
        if (either.isLeft(answer)) {
            return answer;
        }
        return either.map((era: StoreEra): DatedAnswer => ({ ...answer.right, era }))(readEra(kind, result));
    };

    const call: Channel["call"] = async (kind, request, signal) => {
        const overBudget = takeFromBudget(kind);
        if (overBudget !== undefined) {
            return either.left(counters.addError(overBudget));
        }
        countRequest(kind, request);
        const used = pool.current();
        const result = await runExchange(used, request, options, signal);
        if (result.kind === "Lost" && result.isSilent) {
            pool.replace(used);
        }
        if (result.kind === "Answered") {
            counters.add("bytesReceived", result.body.length);
        }
        return either.mapLeft(counters.addError)(judge(kind, result));
    };

    return {
        call,
        rejectAnswer: (kind, detail) => counters.addError(toMissingAnswer(kind, detail)),
        counters: counters.read,
    };
};
