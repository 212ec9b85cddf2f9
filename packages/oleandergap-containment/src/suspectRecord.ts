/**
 * The evidence on one request.
 *
 * A request that was running during a crash is only a suspect: a popular read is running at every target that crashes.
 * Such a read also completes at other targets all the time, while a request that crashes every target never completes.
 * A good run therefore clears all earlier crashes. Otherwise the whole fleet would refuse the most popular page of a
 * partner.
 */
import type { Milliseconds } from "oleandergap-types";
import type { CrashId, Judgement } from "./evidence.js";
import type { ContainmentOptions } from "./options.js";

/** The evidence on one request. `crashes` contains the time of each crash during which the request was running. */
export interface SuspectRecord {
    readonly crashes: Map<CrashId, Milliseconds>;
    /** Time of the last good run; negative infinity if there was none. */
    goodRunAt: Milliseconds;
}

const FREE: Judgement = { kind: "Free" };

/** Creates a record without evidence. */
export const createSuspectRecord = (): SuspectRecord => ({
    crashes: new Map(),
    goodRunAt: Number.NEGATIVE_INFINITY,
});

/**
 * A crash may be reported again within this time. Its id is kept as long, so that the duplicate is not counted as a new
 * crash.
 */
const DUPLICATE_REPORT_MS: Milliseconds = 10_000;

/** Applies a good run. Returns false if it clears no crash. */
export const clearCrashes = (record: SuspectRecord, at: Milliseconds): boolean => {
    const isAnyCleared = [...record.crashes.values()].some((crashAt) => crashAt > record.goodRunAt && crashAt <= at);
    if (isAnyCleared) {
        record.goodRunAt = at;
        for (const [crash, crashAt] of record.crashes) {
            if (crashAt < at - DUPLICATE_REPORT_MS) {
                record.crashes.delete(crash);
            }
        }
    }
    return isAnyCleared;
};

/** Returns whether a crash is new evidence on the request. */
export const isNewCrash = (record: SuspectRecord, crash: CrashId, at: Milliseconds): boolean =>
    at > record.goodRunAt && !record.crashes.has(crash);

/** Returns the crashes after the last good run. */
export const listUnclearedCrashes = ({ crashes, goodRunAt }: SuspectRecord): readonly CrashId[] =>
    [...crashes].filter(([, at]) => at > goodRunAt).map(([crash]) => crash);

/** Returns the time of the last crash; negative infinity if there was none. */
export const getLastCrashAt = ({ crashes }: SuspectRecord): Milliseconds =>
    Math.max(Number.NEGATIVE_INFINITY, ...crashes.values());

const computeHoldTime = (
    crashes: number,
    { crashesToContain, holdMs, holdMaximumMs }: ContainmentOptions,
): Milliseconds =>
    Math.min(holdMaximumMs, holdMs * 2 ** (crashes - crashesToContain));

/** Returns the time until which a request with this number of uncleared crashes is refused. */
const computeContainedUntil = (record: SuspectRecord, crashes: number, options: ContainmentOptions): Milliseconds =>
    crashes < options.crashesToContain ?
        Number.NEGATIVE_INFINITY :
        getLastCrashAt(record) + computeHoldTime(crashes, options);

/** Returns how the request is treated at `now`. */
export const judgeSuspect = (record: SuspectRecord, now: Milliseconds, options: ContainmentOptions): Judgement => {
    const crashes = listUnclearedCrashes(record).length;
    if (crashes === 0) {
        return FREE;
    }
    const until = computeContainedUntil(record, crashes, options);
    if (now < until) {
        return { kind: "Contained", crashes, until };
    }
    if (crashes >= options.crashesToContain - 1) {
        return { kind: "Probation", crashes };
    }
    return now - record.goodRunAt <= options.trustMs ? FREE : { kind: "Suspect", crashes };
};

/** Returns the time after which the record has no effect and can be deleted. */
export const computeExpiry = (record: SuspectRecord, options: ContainmentOptions): Milliseconds =>
    options.forgetMs + Math.max(
        getLastCrashAt(record),
        record.goodRunAt,
        computeContainedUntil(record, listUnclearedCrashes(record).length, options),
    );
