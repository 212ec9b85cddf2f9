/**
 * Reads the platform's heads for an availability zone while this node is a reader. Uses exponential backoff while the
 * platform does not respond.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./callWithTimeout.js";
import type { Claim } from "./claimRegistry.js";
import type { PullOptions, ReaderOptions } from "./options.js";
import { drawJitter, runPeriodically } from "./periodic.js";
import type { ConfigurationSourcePort, FleetPort, PeerPort } from "./ports.js";
import type { ReadBudget } from "./readBudget.js";
import { createReaderRole } from "./readerRole.js";
import type { SpreadCounters } from "./statistics.js";

/** Dependencies of a platform reader. */
export interface PlatformReaderDependencies {
    readonly partners: readonly PartnerName[];
    readonly fleet: Pick<FleetPort, "self" | "members">;
    readonly peers: Pick<PeerPort, "ping">;
    readonly source: Pick<ConfigurationSourcePort, "readHeads">;
    readonly budget: ReadBudget;
    readonly reportClaim: (claim: Claim) => void;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: ReaderOptions;
    readonly pull: Pick<PullOptions, "answerPatienceMs" | "timeoutMs" | "platformTimeoutMs">;
    readonly counters: SpreadCounters;
}

/** Reads the platform on one node, for its availability zone. */
export interface PlatformReader {
    /** Polls the platform, or acts as a standby, until the signal aborts. */
    readonly start: (signal: AbortSignal) => void;
    /** Reads the heads once. Returns undefined if the budget is exhausted or the read failed. */
    readonly readHeads: (signal: AbortSignal) => Promise<readonly Head[] | undefined>;
    /** Returns the time since the last platform response at this node or at a queried peer; undefined if none. */
    readonly platformAge: () => Milliseconds | undefined;
    /** Returns this node's rank among the candidate readers of its zone; infinite if it has none. */
    readonly rank: () => number;
    /** Returns whether the rank alone makes this node poll. */
    readonly isReader: () => boolean;
    /** Returns whether this node polls now. */
    readonly isReading: () => boolean;
    /** Returns whether this node polls and its last read of the platform succeeded. */
    readonly isFollowingPlatform: () => boolean;
}

/**
 * Wait before the first poll. It lets a node that starts together with many others discover them and compute its rank.
 */
const STARTUP_DELAY_MS = 500;
/**
 * Maximum mean interval between updates of the reader role. The ranks change when a reader dies. If all readers of the
 * fleet are silent, a standby must notice it and read a change within the time limit for a change.
 */
const MAX_ROLE_UPDATE_DELAY_MS = 750;
/** Maximum number of doublings of the backoff while the platform does not respond. */
const MAX_BACKOFF_EXPONENT = 10;

/** Creates the reader of one node. It is idle until `start` or `readHeads` is called. */
export const createPlatformReader = ({
    partners,
    fleet,
    peers,
    source,
    budget,
    reportClaim,
    clock,
    random,
    logger,
    options,
    pull,
    counters,
}: PlatformReaderDependencies): PlatformReader => {
    const startedAt = clock.monotonic();
    /** Time of the latest platform response at this node or at a queried peer. */
    let lastContactAt: Milliseconds | undefined;
    let consecutiveFailures = 0;
    let outageStartedAt = startedAt;

    const onPlatformResponse = (at: Milliseconds): void => {
        lastContactAt = Math.max(lastContactAt ?? at, at);
    };
    const role = createReaderRole({
        fleet,
        peers,
        clock,
        options,
        random,
        patienceMs: pull.answerPatienceMs,
        timeoutMs: pull.timeoutMs,
        onPlatformResponse,
    });

    /**
     * Logs one line when the platform stops responding. `recordSuccessfulRead` logs one line when it responds again.
     */
    const recordFailedRead = (failure: { readonly kind: string }, readStartedAt: Milliseconds): void => {
        if (consecutiveFailures === 0) {
            outageStartedAt = readStartedAt;
            logger.warn("The platform does not respond.", {
                reason: failure.kind,
                detail: "detail" in failure ? String(failure.detail) : undefined,
                durationMs: Math.round(clock.monotonic() - readStartedAt),
            });
        }
        consecutiveFailures += 1;
    };

    const recordSuccessfulRead = (): void => {
        if (consecutiveFailures > 0) {
            logger.info("The platform responds again.", {
                failedReads: consecutiveFailures,
                lostMs: Math.round(clock.monotonic() - outageStartedAt),
            });
        }
        consecutiveFailures = 0;
    };

    const readHeads: PlatformReader["readHeads"] = async (signal) => {
        if (!budget.tryTake()) {
            counters.readsPutOff += 1;
            return undefined;
        }
        counters.platformReads += 1;
        const readStartedAt = clock.monotonic();
        const limits = { clock, timeoutMs: pull.platformTimeoutMs, signal };
        const outcome = await callWithTimeout((inner) => source.readHeads(partners, inner), limits);
        if (either.isLeft(outcome)) {
            counters.platformFailures += 1;
            recordFailedRead(outcome.left, readStartedAt);
            return undefined;
        }
        recordSuccessfulRead();
        onPlatformResponse(readStartedAt);
        for (const head of outcome.right) {
            reportClaim({ head, source: { kind: "Platform" } });
        }
        return outcome.right;
    };

    const drawRoleUpdateDelay = (): Milliseconds =>
        clock.monotonic() - startedAt < STARTUP_DELAY_MS ?
            STARTUP_DELAY_MS * (1 + random()) :
            drawJitter(random, Math.min(options.stepMs, MAX_ROLE_UPDATE_DELAY_MS));

    const drawReadDelay = (): Milliseconds => {
        const exponent = Math.min(consecutiveFailures, MAX_BACKOFF_EXPONENT);
        const backoff = consecutiveFailures === 0 ?
            0 :
            drawBackoff(random, exponent, options.intervalMs, options.backoffMaximumMs);
        return Math.max(drawJitter(random, options.intervalMs), backoff);
    };

    const readIfPolling = async (signal: AbortSignal): Promise<void> => {
        if (role.isReading()) {
            await readHeads(signal);
        }
    };

    return {
        start: (signal) => {
            const loop = { clock, logger, signal };
            void runPeriodically({ ...loop, delay: drawRoleUpdateDelay, run: () => role.update(signal) });
            void runPeriodically({ ...loop, delay: drawReadDelay, run: () => readIfPolling(signal) });
        },
        readHeads,
        platformAge: () => lastContactAt === undefined ? undefined : Math.max(0, clock.monotonic() - lastContactAt),
        rank: role.rank,
        isReader: role.isReader,
        isReading: role.isReading,
        isFollowingPlatform: () => role.isReading() && lastContactAt !== undefined && consecutiveFailures === 0,
    };
};
