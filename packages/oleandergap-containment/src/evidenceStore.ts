/**
 * All evidence of one node. Nodes merge the evidence that they receive, in any order and with duplicates, so all nodes
 * reach the same judgements without coordination.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import type { CrashId, CrashReport, Evidence, GoodRun, Judgement } from "./evidence.js";
import type { Fingerprint } from "./fingerprint.js";
import type { ContainmentOptions } from "./options.js";
import {
    clearCrashes,
    computeExpiry,
    createSuspectRecord,
    getLastCrashAt,
    isNewCrash,
    judgeSuspect,
    listUnclearedCrashes,
    type SuspectRecord,
} from "./suspectRecord.js";

/** A crash and the node where it happened. */
export interface CrashLocation {
    readonly crash: CrashId;
    readonly node: NodeId;
}

/** A request that is refused at present. */
export interface ContainedRequest {
    readonly fingerprint: Fingerprint;
    readonly since: Milliseconds;
    readonly until: Milliseconds;
    /** The crashes because of which the request is refused, with the nodes whose targets crashed. */
    readonly crashes: readonly CrashLocation[];
}

/** The evidence of one node. Times are on the node's monotonic clock. */
export interface EvidenceStore {
    /** Adds a crash. Returns the part of the report that is new, or undefined if nothing is new. */
    readonly recordCrash: (report: CrashReport) => CrashReport | undefined;
    /** Adds a good run. Returns false if it is not new or there is no evidence against the request. */
    readonly recordGoodRun: (run: GoodRun) => boolean;
    readonly judge: (fingerprint: Fingerprint, now: Milliseconds) => Judgement;
    /** Returns whether there is evidence against any request. If not, no fingerprints have to be computed. */
    readonly hasSuspects: () => boolean;
    /**
     * Returns a digest of the requests with at least two crashes. It is equal at two nodes with the same crashes for
     * the same requests, and 0 if there are no such requests.
     */
    readonly digest: () => number;
    /**
     * Returns the evidence to send to a node that lacks some of it. If there is too much evidence, the most important
     * part is returned.
     */
    readonly list: () => Evidence;
    /** Returns the request if it is refused at `now`, otherwise undefined. */
    readonly findContained: (fingerprint: Fingerprint, now: Milliseconds) => ContainedRequest | undefined;
    /** Deletes expired records, and crashes that no record refers to. */
    readonly prune: (now: Milliseconds) => void;
    /** Returns the number of requests on which there is evidence. */
    readonly size: () => number;
}

interface Entry {
    readonly fingerprint: Fingerprint;
    readonly record: SuspectRecord;
}

/** Orders records by importance, least important first: by the number of uncleared crashes, then by the last crash. */
const compareImportance = (left: Entry, right: Entry): number =>
    listUnclearedCrashes(left.record).length - listUnclearedCrashes(right.record).length ||
    getLastCrashAt(left.record) - getLastCrashAt(right.record);

/** Minimum number of crashes for a request to be included in the digest. No request is refused after one crash. */
const MINIMUM_CRASHES_IN_DIGEST = 2;
/** Maximum number of listed requests, so that a list fits into a few datagrams. */
const MAX_LISTED_REQUESTS = 256;

const computeDigest = (entries: readonly Entry[]): number => {
    const digestEntries = entries
        .map(({ fingerprint, record }) => ({ fingerprint, crashes: listUnclearedCrashes(record) }))
        .filter(({ crashes }) => crashes.length >= MINIMUM_CRASHES_IN_DIGEST)
        .map(({ fingerprint, crashes }) => `${fingerprint} ${[...crashes].sort().join()}`);
    return digestEntries.length === 0 ? 0 : hashText(digestEntries.sort().join());
};

/** Creates an empty store. */
export const createEvidenceStore = (options: ContainmentOptions): EvidenceStore => {
    const records = new Map<Fingerprint, SuspectRecord>();
    const crashedNodes = new Map<CrashId, NodeId>();
    /** Requests with uncleared crashes. */
    const suspects = new Set<Fingerprint>();
    let cachedDigest: number | undefined = 0;

    const listEntries = (): readonly Entry[] => [...records].map(([fingerprint, record]) => ({ fingerprint, record }));

    const updateSuspects = (fingerprint: Fingerprint): void => {
        const record = records.get(fingerprint);
        if (record !== undefined && listUnclearedCrashes(record).length > 0) {
            suspects.add(fingerprint);
        }
        else {
            suspects.delete(fingerprint);
        }
        cachedDigest = undefined;
    };

    const deleteRecord = (fingerprint: Fingerprint): void => {
        records.delete(fingerprint);
        updateSuspects(fingerprint);
    };

    const getOrCreateRecord = (fingerprint: Fingerprint): SuspectRecord => {
        let record = records.get(fingerprint);
        if (record === undefined) {
            record = createSuspectRecord();
            records.set(fingerprint, record);
        }
        return record;
    };

    const evictSurplus = (): void => {
        const surplus = records.size - options.mostSuspects;
        if (surplus > 0) {
            [...listEntries()]
                .sort(compareImportance)
                .slice(0, surplus)
                .forEach(({ fingerprint }) => deleteRecord(fingerprint));
        }
    };

    const deleteUnreferencedCrashes = (): void => {
        const referencedCrashes = new Set(listEntries().flatMap(({ record }) => [...record.crashes.keys()]));
        for (const crash of crashedNodes.keys()) {
            if (!referencedCrashes.has(crash)) {
                crashedNodes.delete(crash);
            }
        }
    };

    const recordCrash: EvidenceStore["recordCrash"] = (report) => {
        const { crash, node, at } = report;
        const fingerprints = report.fingerprints.filter((fingerprint) => {
            const record = records.get(fingerprint);
            return record === undefined || isNewCrash(record, crash, at);
        });
        if (fingerprints.length === 0) {
            return undefined;
        }
        crashedNodes.set(crash, node);
        for (const fingerprint of fingerprints) {
            getOrCreateRecord(fingerprint).crashes.set(crash, at);
            updateSuspects(fingerprint);
        }
        evictSurplus();
        return { ...report, fingerprints };
    };

    const recordGoodRun: EvidenceStore["recordGoodRun"] = ({ fingerprint, at }) => {
        const record = records.get(fingerprint);
        if (record === undefined || !clearCrashes(record, at)) {
            return false;
        }
        updateSuspects(fingerprint);
        return true;
    };

    const list = (): Evidence => {
        const reports = new Map<CrashId, { readonly at: Milliseconds; readonly fingerprints: Fingerprint[] }>();
        const listedEntries = [...listEntries()].sort(compareImportance).slice(-MAX_LISTED_REQUESTS);
        for (const { fingerprint, record } of listedEntries) {
            for (const crash of listUnclearedCrashes(record)) {
                const report = reports.get(crash) ?? { at: record.crashes.get(crash) ?? 0, fingerprints: [] };
                report.fingerprints.push(fingerprint);
                reports.set(crash, report);
            }
        }
        return {
            crashes: [...reports].map(([crash, report]) => ({ crash, node: crashedNodes.get(crash) ?? "", ...report })),
            goodRuns: listedEntries
                .filter(({ record }) => Number.isFinite(record.goodRunAt))
                .map(({ fingerprint, record }) => ({ fingerprint, at: record.goodRunAt })),
        };
    };

    const findContained: EvidenceStore["findContained"] = (fingerprint, now) => {
        const record = records.get(fingerprint);
        const judgement = record && judgeSuspect(record, now, options);
        if (record === undefined || judgement?.kind !== "Contained") {
            return undefined;
        }
        const crashes = listUnclearedCrashes(record).map((crash) => ({ crash, node: crashedNodes.get(crash) ?? "" }));
        return { fingerprint, since: getLastCrashAt(record), until: judgement.until, crashes };
    };

    return {
        recordCrash,
        recordGoodRun,
        judge: (fingerprint, now) => {
            const record = records.get(fingerprint);
            return record === undefined ? { kind: "Free" } : judgeSuspect(record, now, options);
        },
        hasSuspects: () => suspects.size > 0,
        digest: () => cachedDigest ??= computeDigest(listEntries()),
        list,
        findContained,
        prune: (now) => {
            for (const { fingerprint, record } of listEntries()) {
                if (computeExpiry(record, options) <= now) {
                    deleteRecord(fingerprint);
                }
            }
            deleteUnreferencedCrashes();
        },
        size: () => records.size,
    };
};
