/**
 * The evidence on one request.
 *
 * What ran beside a crash is no more than suspect: a popular read runs at every target that crashes. It also ends well
 * at others all the while, which a request that crashes whatever runs it never does. A good run therefore takes back
 * all crashes before it; without that, one would see a partner's most wanted page refused by the whole fleet.
 */
import type { Milliseconds } from "oleandergap-types";
import type { CrashId, Judgement } from "./evidence.js";
import type { ContainmentOptions } from "./options.js";

/** The evidence on one request; `crashes` holds the time of each crash beside it. */
export interface SuspectRecord {
    readonly crashes: Map<CrashId, Milliseconds>;
    /** Time of the last run that ended well; minus infinity for none. */
    goodRunAt: Milliseconds;
}

const FREE: Judgement = { kind: "Free" };

/** A record without evidence. */
export const createSuspectRecord = (): SuspectRecord => ({
    crashes: new Map(),
    goodRunAt: Number.NEGATIVE_INFINITY,
});

/** A crash is told again within this time; its id is kept so long, so that it does not count anew. */
const TOLD_AGAIN_MS: Milliseconds = 10_000;

/** Takes in a good run; false when it takes no crash back. */
export const takeBackCrashes = (record: SuspectRecord, at: Milliseconds): boolean => {
    const takesBack = [...record.crashes.values()].some((crashAt) => crashAt > record.goodRunAt && crashAt <= at);
    if (takesBack) {
        record.goodRunAt = at;
        for (const [crash, crashAt] of record.crashes) {
            if (crashAt < at - TOLD_AGAIN_MS) {
                record.crashes.delete(crash);
            }
        }
    }
    return takesBack;
};

/** Whether a crash would say something new of the request. */
export const isNewCrash = (record: SuspectRecord, crash: CrashId, at: Milliseconds): boolean =>
    at > record.goodRunAt && !record.crashes.has(crash);

/** Crashes that no good run has taken back. */
export const listOpenCrashes = ({ crashes, goodRunAt }: SuspectRecord): readonly CrashId[] =>
    [...crashes].filter(([, at]) => at > goodRunAt).map(([crash]) => crash);

/** Time of the last crash; minus infinity for none. */
export const lastCrashAt = ({ crashes }: SuspectRecord): Milliseconds =>
    Math.max(Number.NEGATIVE_INFINITY, ...crashes.values());

const holdTime = (crashes: number, { crashesToContain, holdMs, holdMaximumMs }: ContainmentOptions): Milliseconds =>
    Math.min(holdMaximumMs, holdMs * 2 ** (crashes - crashesToContain));

/** Time until which a request with so many open crashes is refused. */
const containedUntil = (record: SuspectRecord, crashes: number, options: ContainmentOptions): Milliseconds =>
    crashes < options.crashesToContain ? Number.NEGATIVE_INFINITY : lastCrashAt(record) + holdTime(crashes, options);

/** How the request is to be treated at `now`. */
export const judgeSuspect = (record: SuspectRecord, now: Milliseconds, options: ContainmentOptions): Judgement => {
    const crashes = listOpenCrashes(record).length;
    if (crashes === 0) {
        return FREE;
    }
    const until = containedUntil(record, crashes, options);
    if (now < until) {
        return { kind: "Contained", crashes, until };
    }
    if (crashes >= options.crashesToContain - 1) {
        return { kind: "Probation", crashes };
    }
    return now - record.goodRunAt <= options.trustMs ? FREE : { kind: "Suspect", crashes };
};

/** Time after which the record says nothing any more. */
export const forgetAt = (record: SuspectRecord, options: ContainmentOptions): Milliseconds =>
    options.forgetMs + Math.max(
        lastCrashAt(record),
        record.goodRunAt,
        containedUntil(record, listOpenCrashes(record).length, options),
    );
