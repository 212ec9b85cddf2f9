/**
 * All evidence that one node holds. Nodes merge what they tell each other, in any order and as often as it arrives, so
 * that all of them come to the same judgements without agreeing on them.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import type { CrashId, CrashReport, Evidence, GoodRun, Judgement } from "./evidence.js";
import type { Fingerprint } from "./fingerprint.js";
import type { ContainmentOptions } from "./options.js";
import {
    createSuspectRecord,
    forgetAt,
    judgeSuspect,
    lastCrashAt,
    listOpenCrashes,
    type SuspectRecord,
} from "./suspectRecord.js";

/** A crash, and where it was. */
export interface NamedCrash {
    readonly crash: CrashId;
    readonly node: NodeId;
}

/** A request that is refused now. */
export interface ContainedRequest {
    readonly fingerprint: Fingerprint;
    readonly since: Milliseconds;
    readonly until: Milliseconds;
    /** The crashes that it is refused for, and the nodes whose targets they ended. */
    readonly crashes: readonly NamedCrash[];
}

/** The evidence of one node. Times are the node's monotonic clock. */
export interface EvidenceBook {
    /** Takes in a crash; returns the part of the report that was new, if any. */
    readonly noteCrash: (report: CrashReport) => CrashReport | undefined;
    /** Takes in a good run; false when it says nothing new, or nothing is held against the request. */
    readonly noteGoodRun: (run: GoodRun) => boolean;
    readonly judge: (fingerprint: Fingerprint, now: Milliseconds) => Judgement;
    /** Whether anything is held against any request; while not, no request needs to be named. */
    readonly hasSuspects: () => boolean;
    /** Equal at two nodes that hold the same against the same requests; 0 without any. */
    readonly digest: () => number;
    /** All that is held, to be told to a node that knows less. */
    readonly list: () => Evidence;
    readonly listContained: (now: Milliseconds) => readonly ContainedRequest[];
    /** Drops what is too old, and what is too much. */
    readonly prune: (now: Milliseconds) => void;
    /** Requests of which anything is held. */
    readonly size: () => number;
}

interface Entry {
    readonly fingerprint: Fingerprint;
    readonly record: SuspectRecord;
}

/** What goes first: no open crash before one, one before two; of equal ones the oldest. */
const compareWorth = (left: Entry, right: Entry): number =>
    listOpenCrashes(left.record).length - listOpenCrashes(right.record).length ||
    lastCrashAt(left.record) - lastCrashAt(right.record);

/** Starts empty. */
export const createEvidenceBook = (options: ContainmentOptions): EvidenceBook => {
    const records = new Map<Fingerprint, SuspectRecord>();
    const crashedNodes = new Map<CrashId, NodeId>();
    let suspects = 0;
    let digest = 0;

    const listEntries = (): readonly Entry[] => [...records].map(([fingerprint, record]) => ({ fingerprint, record }));

    const recount = (): void => {
        const held = listEntries()
            .map(({ fingerprint, record }) => ({ fingerprint, crashes: listOpenCrashes(record) }))
            .filter(({ crashes }) => crashes.length > 0);
        suspects = held.length;
        digest = suspects === 0 ?
            0 :
            hashText(held.map(({ fingerprint, crashes }) => `${fingerprint} ${[...crashes].sort().join()}`).sort().join());
    };

    const findRecord = (fingerprint: Fingerprint): SuspectRecord => {
        let record = records.get(fingerprint);
        if (record === undefined) {
            record = createSuspectRecord();
            records.set(fingerprint, record);
        }
        return record;
    };

    const dropWorthless = (): void => {
        const surplus = records.size - options.mostSuspects;
        if (surplus > 0) {
            for (const { fingerprint } of [...listEntries()].sort(compareWorth).slice(0, surplus)) {
                records.delete(fingerprint);
            }
        }
    };

    const dropUnnamedCrashes = (): void => {
        const named = new Set(listEntries().flatMap(({ record }) => [...record.crashes.keys()]));
        for (const crash of crashedNodes.keys()) {
            if (!named.has(crash)) {
                crashedNodes.delete(crash);
            }
        }
    };

    const noteCrash: EvidenceBook["noteCrash"] = (report) => {
        const { crash, node, at } = report;
        const fingerprints = report.fingerprints.filter((name) => records.get(name)?.crashes.has(crash) !== true);
        if (fingerprints.length === 0) {
            return undefined;
        }
        crashedNodes.set(crash, node);
        for (const fingerprint of fingerprints) {
            findRecord(fingerprint).crashes.set(crash, at);
        }
        dropWorthless();
        recount();
        return { ...report, fingerprints };
    };

    const noteGoodRun: EvidenceBook["noteGoodRun"] = ({ fingerprint, at }) => {
        const record = records.get(fingerprint);
        const takesBack = record !== undefined && [...record.crashes.values()]
            .some((crashAt) => crashAt > record.goodRunAt && crashAt <= at);
        if (record === undefined || !takesBack) {
            return false;
        }
        record.goodRunAt = at;
        recount();
        return true;
    };

    const list = (): Evidence => {
        const reports = new Map<CrashId, { readonly at: Milliseconds; readonly fingerprints: Fingerprint[] }>();
        for (const { fingerprint, record } of listEntries()) {
            for (const crash of listOpenCrashes(record)) {
                const report = reports.get(crash) ?? { at: record.crashes.get(crash) ?? 0, fingerprints: [] };
                report.fingerprints.push(fingerprint);
                reports.set(crash, report);
            }
        }
        return {
            crashes: [...reports].map(([crash, report]) => ({ crash, node: crashedNodes.get(crash) ?? "", ...report })),
            goodRuns: listEntries()
                .filter(({ record }) => Number.isFinite(record.goodRunAt))
                .map(({ fingerprint, record }) => ({ fingerprint, at: record.goodRunAt })),
        };
    };

    const describeContained = ({ fingerprint, record }: Entry, now: Milliseconds): readonly ContainedRequest[] => {
        const judgement = judgeSuspect(record, now, options);
        const crashes = listOpenCrashes(record);
        return judgement.kind === "Contained" ?
            [{
                fingerprint,
                since: lastCrashAt(record),
                until: judgement.until,
                crashes: crashes.map((crash) => ({ crash, node: crashedNodes.get(crash) ?? "" })),
            }] :
            [];
    };

    return {
        noteCrash,
        noteGoodRun,
        judge: (fingerprint, now) => {
            const record = records.get(fingerprint);
            return record === undefined ? { kind: "Free" } : judgeSuspect(record, now, options);
        },
        hasSuspects: () => suspects > 0,
        digest: () => digest,
        list,
        listContained: (now) => listEntries().flatMap((entry) => describeContained(entry, now)),
        prune: (now) => {
            for (const { fingerprint, record } of listEntries()) {
                if (forgetAt(record, options) <= now) {
                    records.delete(fingerprint);
                }
            }
            dropUnnamedCrashes();
            recount();
        },
        size: () => records.size,
    };
};
