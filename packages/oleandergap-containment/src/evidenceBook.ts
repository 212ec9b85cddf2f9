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
    isNewCrash,
    judgeSuspect,
    lastCrashAt,
    listOpenCrashes,
    takeBackCrashes,
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
    /** Equal at two nodes that hold the same against the same requests, of those with two crashes; 0 without any. */
    readonly digest: () => number;
    /** What is held, to be told to a node that knows less; of much, what matters most. */
    readonly list: () => Evidence;
    /** The request as it is refused now; undefined while it is not. */
    readonly findContained: (fingerprint: Fingerprint, now: Milliseconds) => ContainedRequest | undefined;
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

/** Crashes of a request from which on nodes compare what they hold: with one, nothing is refused. */
const COMPARED_CRASHES = 2;
/** Requests of a list: a few datagrams, whatever is held. */
const MOST_LISTED = 256;

const computeDigest = (entries: readonly Entry[]): number => {
    const compared = entries
        .map(({ fingerprint, record }) => ({ fingerprint, crashes: listOpenCrashes(record) }))
        .filter(({ crashes }) => crashes.length >= COMPARED_CRASHES)
        .map(({ fingerprint, crashes }) => `${fingerprint} ${[...crashes].sort().join()}`);
    return compared.length === 0 ? 0 : hashText(compared.sort().join());
};

/** Starts empty. */
export const createEvidenceBook = (options: ContainmentOptions): EvidenceBook => {
    const records = new Map<Fingerprint, SuspectRecord>();
    const crashedNodes = new Map<CrashId, NodeId>();
    /** Those with open crashes. */
    const suspects = new Set<Fingerprint>();
    let digest: number | undefined = 0;

    const listEntries = (): readonly Entry[] => [...records].map(([fingerprint, record]) => ({ fingerprint, record }));

    const noteChange = (fingerprint: Fingerprint): void => {
        const record = records.get(fingerprint);
        if (record !== undefined && listOpenCrashes(record).length > 0) {
            suspects.add(fingerprint);
        }
        else {
            suspects.delete(fingerprint);
        }
        digest = undefined;
    };

    const drop = (fingerprint: Fingerprint): void => {
        records.delete(fingerprint);
        noteChange(fingerprint);
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
            [...listEntries()].sort(compareWorth).slice(0, surplus).forEach(({ fingerprint }) => drop(fingerprint));
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
        const fingerprints = report.fingerprints.filter((name) => {
            const record = records.get(name);
            return record === undefined || isNewCrash(record, crash, at);
        });
        if (fingerprints.length === 0) {
            return undefined;
        }
        crashedNodes.set(crash, node);
        for (const fingerprint of fingerprints) {
            findRecord(fingerprint).crashes.set(crash, at);
            noteChange(fingerprint);
        }
        dropWorthless();
        return { ...report, fingerprints };
    };

    const noteGoodRun: EvidenceBook["noteGoodRun"] = ({ fingerprint, at }) => {
        const record = records.get(fingerprint);
        if (record === undefined || !takeBackCrashes(record, at)) {
            return false;
        }
        noteChange(fingerprint);
        return true;
    };

    const list = (): Evidence => {
        const reports = new Map<CrashId, { readonly at: Milliseconds; readonly fingerprints: Fingerprint[] }>();
        const listed = [...listEntries()].sort(compareWorth).slice(-MOST_LISTED);
        for (const { fingerprint, record } of listed) {
            for (const crash of listOpenCrashes(record)) {
                const report = reports.get(crash) ?? { at: record.crashes.get(crash) ?? 0, fingerprints: [] };
                report.fingerprints.push(fingerprint);
                reports.set(crash, report);
            }
        }
        return {
            crashes: [...reports].map(([crash, report]) => ({ crash, node: crashedNodes.get(crash) ?? "", ...report })),
            goodRuns: listed
                .filter(({ record }) => Number.isFinite(record.goodRunAt))
                .map(({ fingerprint, record }) => ({ fingerprint, at: record.goodRunAt })),
        };
    };

    const findContained: EvidenceBook["findContained"] = (fingerprint, now) => {
        const record = records.get(fingerprint);
        const judgement = record && judgeSuspect(record, now, options);
        if (record === undefined || judgement?.kind !== "Contained") {
            return undefined;
        }
        const crashes = listOpenCrashes(record).map((crash) => ({ crash, node: crashedNodes.get(crash) ?? "" }));
        return { fingerprint, since: lastCrashAt(record), until: judgement.until, crashes };
    };

    return {
        noteCrash,
        noteGoodRun,
        judge: (fingerprint, now) => {
            const record = records.get(fingerprint);
            return record === undefined ? { kind: "Free" } : judgeSuspect(record, now, options);
        },
        hasSuspects: () => suspects.size > 0,
        digest: () => digest ??= computeDigest(listEntries()),
        list,
        findContained,
        prune: (now) => {
            for (const { fingerprint, record } of listEntries()) {
                if (forgetAt(record, options) <= now) {
                    drop(fingerprint);
                }
            }
            dropUnnamedCrashes();
        },
        size: () => records.size,
    };
};
