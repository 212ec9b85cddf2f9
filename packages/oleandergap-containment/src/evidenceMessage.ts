/**
 * The datagrams with which nodes exchange evidence on crashes. They contain ages instead of times, because clocks
 * differ.
 */
import type { Milliseconds } from "oleandergap-types";
import { splitIntoChunks } from "oleandergap-utils";
import { z } from "zod";
import { crashedNodeSchema, crashIdSchema, type CrashReport, type Evidence, type GoodRun } from "./evidence.js";
import { fingerprintSchema, type Fingerprint } from "./fingerprint.js";

/**
 * Maximum number of fingerprints in one datagram. Together with crash ids and JSON syntax they stay below its size
 * limit.
 */
const MAX_FINGERPRINTS = 32;
/** Maximum number of good runs in one datagram. */
const MAX_GOOD_RUNS = 32;
const MAX_AGE_MS: Milliseconds = 7 * 86_400_000;

const ageSchema = z.number().int().min(0).max(MAX_AGE_MS);

const crashSchema = z.strictObject({
    crash: crashIdSchema,
    node: crashedNodeSchema,
    ageMs: ageSchema,
    fingerprints: z.array(fingerprintSchema).max(MAX_FINGERPRINTS),
});
const goodRunSchema = z.strictObject({ fingerprint: fingerprintSchema, ageMs: ageSchema });

export const evidenceMessageSchema = z.discriminatedUnion("kind", [
    /** Crashes and good runs that the receiver may not have. */
    z.strictObject({
        kind: z.literal("Evidence"),
        crashes: z.array(crashSchema).max(MAX_FINGERPRINTS),
        goodRuns: z.array(goodRunSchema).max(MAX_GOOD_RUNS),
    }),
    /** Requests the receiver's evidence if its digest differs from the sender's. */
    z.strictObject({ kind: z.literal("Comparison"), digest: z.number().int(), isAnswer: z.boolean() }),
    /** Ends a comparison. `isInformed` states whether the sender already has the evidence of the fleet. */
    z.strictObject({ kind: z.literal("Compared"), isInformed: z.boolean() }),
]);
/** See {@link evidenceMessageSchema}. */
export type EvidenceMessage = z.infer<typeof evidenceMessageSchema>;
type EvidencePayload = Extract<EvidenceMessage, { readonly kind: "Evidence" }>;

const computeAge = (at: Milliseconds, now: Milliseconds): Milliseconds =>
    Math.min(MAX_AGE_MS, Math.max(0, Math.round(now - at)));

/** Splits a report into reports with few enough fingerprints to fit into a datagram. */
const splitReport = (report: CrashReport): readonly CrashReport[] =>
    splitIntoChunks<Fingerprint>(report.fingerprints, MAX_FINGERPRINTS)
        .map((fingerprints) => ({ ...report, fingerprints }));

/** Size of a crash's id, node and age, in fingerprints. */
const REPORT_OVERHEAD = 4;

const groupReports = (reports: readonly CrashReport[]): readonly (readonly CrashReport[])[] => {
    const groups: CrashReport[][] = [];
    let remainingSize = 0;
    for (const report of reports.flatMap(splitReport)) {
        const size = report.fingerprints.length + REPORT_OVERHEAD;
        if (size > remainingSize || groups.length === 0) {
            groups.push([]);
            remainingSize = MAX_FINGERPRINTS + REPORT_OVERHEAD;
        }
        groups.at(-1)?.push(report);
        remainingSize -= size;
    }
    return groups;
};

const encodeCrash = ({ at, ...report }: CrashReport, now: Milliseconds): EvidencePayload["crashes"][number] =>
    ({ ...report, fingerprints: [...report.fingerprints], ageMs: computeAge(at, now) });

const encodeGoodRun = ({ fingerprint, at }: GoodRun, now: Milliseconds): EvidencePayload["goodRuns"][number] =>
    ({ fingerprint, ageMs: computeAge(at, now) });

/** Returns the messages that contain `evidence`, each small enough for a datagram. */
export const encodeEvidence = ({ crashes, goodRuns }: Evidence, now: Milliseconds): readonly EvidenceMessage[] => [
    ...groupReports(crashes).map((reports): EvidenceMessage =>
        ({ kind: "Evidence", crashes: reports.map((report) => encodeCrash(report, now)), goodRuns: [] })),
    ...splitIntoChunks(goodRuns, MAX_GOOD_RUNS).map((runs): EvidenceMessage =>
        ({ kind: "Evidence", crashes: [], goodRuns: runs.map((run) => encodeGoodRun(run, now)) })),
];

/** Converts the ages of a message to times on this node's monotonic clock. */
export const decodeEvidence = ({ crashes, goodRuns }: EvidencePayload, now: Milliseconds): Evidence => ({
    crashes: crashes.map(({ ageMs, ...report }) => ({ ...report, at: now - ageMs })),
    goodRuns: goodRuns.map(({ fingerprint, ageMs }) => ({ fingerprint, at: now - ageMs })),
});
