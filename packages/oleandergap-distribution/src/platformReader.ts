/**
 * Reads the platform's heads on behalf of an availability zone, while this node is on duty, and waits longer and longer
 * while the platform does not answer.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./boundedCall.js";
import type { Claim } from "./claimBook.js";
import type { PullOptions, ReaderOptions } from "./options.js";
import { drawJitter, runPeriodically } from "./periodic.js";
import type { ConfigurationSourcePort, FleetPort, PeerPort } from "./ports.js";
import type { ReadBudget } from "./readBudget.js";
import { createReaderRole } from "./readerDuty.js";
import type { SpreadCounters } from "./statistics.js";

/** What a platform reader works with. */
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
    readonly pull: Pick<PullOptions, "timeoutMs" | "platformTimeoutMs">;
    readonly counters: SpreadCounters;
}

/** One node's part in reading the platform for its availability zone. */
export interface PlatformReader {
    /** Polls or stands by until the signal aborts. */
    readonly start: (signal: AbortSignal) => void;
    /** Reads the heads once, if the budget allows; undefined when nothing was learnt. */
    readonly readHeads: (signal: AbortSignal) => Promise<readonly Head[] | undefined>;
    /** Time since the platform was last heard from by this node or by one that it asked; undefined when never. */
    readonly platformAge: () => Milliseconds | undefined;
    readonly rank: () => number;
    /** Whether its rank makes this node poll. */
    readonly isReader: () => boolean;
    /** Whether this node polls now. */
    readonly isReading: () => boolean;
    /** Whether it polls, and the platform answered the last time. */
    readonly isFollowingPlatform: () => boolean;
}

/** Wait before the first poll, so that a node that starts with many others has met them and knows its rank. */
const STARTUP_DELAY_MS = 500;
/** Longest mean wait between two looks at the ranks, which change when a reader dies. */
const MAX_ROLE_UPDATE_DELAY_MS = 1_500;
/** Most doublings of the wait while the platform does not answer. */
const MAX_BACKOFF_EXPONENT = 10;

/** Creates the reader of one node; it does nothing before `start` or `readHeads`. */
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
    /** When the platform was last heard from, by this node or another. */
    let lastContactAt: Milliseconds | undefined;
    let consecutiveFailures = 0;
    let outageStartedAt = startedAt;

    const noteHeard = (at: Milliseconds): void => {
        lastContactAt = Math.max(lastContactAt ?? at, at);
    };
    const role = createReaderRole({ fleet, peers, clock, options, timeoutMs: pull.timeoutMs, noteHeard });

    /** One line when the platform is lost and one when it is back, whatever the number of reads between. */
    const recordFailedRead = (failure: { readonly kind: string }, readStartedAt: Milliseconds): void => {
        if (consecutiveFailures === 0) {
            outageStartedAt = readStartedAt;
            logger.warn("The platform does not answer.", {
                reason: failure.kind,
                detail: "detail" in failure ? String(failure.detail) : undefined,
                durationMs: Math.round(clock.monotonic() - readStartedAt),
            });
        }
        consecutiveFailures += 1;
    };

    const recordSuccessfulRead = (): void => {
        if (consecutiveFailures > 0) {
            logger.info("The platform answers again.", {
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
        noteHeard(readStartedAt);
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

    const readIfReading = async (signal: AbortSignal): Promise<void> => {
        if (role.isReading()) {
            await readHeads(signal);
        }
    };

    return {
        start: (signal) => {
            const loop = { clock, logger, signal };
            void runPeriodically({ ...loop, delay: drawRoleUpdateDelay, run: () => role.update(signal) });
            void runPeriodically({ ...loop, delay: drawReadDelay, run: () => readIfReading(signal) });
        },
        readHeads,
        platformAge: () => lastContactAt === undefined ? undefined : Math.max(0, clock.monotonic() - lastContactAt),
        rank: role.rank,
        isReader: role.isReader,
        isReading: role.isReading,
        isFollowingPlatform: () => role.isReading() && lastContactAt !== undefined && consecutiveFailures === 0,
    };
};
