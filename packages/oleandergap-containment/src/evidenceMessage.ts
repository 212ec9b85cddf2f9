/** The datagrams by which nodes tell each other of crashes. Clocks differ, so ages travel, not times. */
import type { Milliseconds } from "oleandergap-types";
import { z } from "zod";
import { crashedNodeSchema, crashIdSchema, type CrashReport, type Evidence, type GoodRun } from "./evidence.js";
import { fingerprintSchema, type Fingerprint } from "./fingerprint.js";

/** Names of requests in one datagram: with crash ids and JSON around them they stay below its limit. */
const MOST_NAMES = 32;
/** Good runs in one datagram. */
const MOST_GOOD_RUNS = 32;
const LONGEST_AGE_MS: Milliseconds = 7 * 86_400_000;

const ageSchema = z.number().int().min(0).max(LONGEST_AGE_MS);

const crashSchema = z.strictObject({
    crash: crashIdSchema,
    node: crashedNodeSchema,
    ageMs: ageSchema,
    fingerprints: z.array(fingerprintSchema).max(MOST_NAMES),
});
const goodRunSchema = z.strictObject({ fingerprint: fingerprintSchema, ageMs: ageSchema });

export const evidenceMessageSchema = z.discriminatedUnion("kind", [
    /** Crashes and good runs that the receiver may not know. */
    z.strictObject({
        kind: z.literal("Evidence"),
        crashes: z.array(crashSchema).max(MOST_NAMES),
        goodRuns: z.array(goodRunSchema).max(MOST_GOOD_RUNS),
    }),
    /** Asks for what the receiver holds, if it differs from what the sender does. */
    z.strictObject({ kind: z.literal("Comparison"), digest: z.number().int(), isAnswer: z.boolean() }),
    /** Ends a comparison; `isInformed` tells whether the sender had asked others before. */
    z.strictObject({ kind: z.literal("Compared"), isInformed: z.boolean() }),
]);
/** See {@link evidenceMessageSchema}. */
export type EvidenceMessage = z.infer<typeof evidenceMessageSchema>;
type EvidenceTold = Extract<EvidenceMessage, { readonly kind: "Evidence" }>;

const toAge = (at: Milliseconds, now: Milliseconds): Milliseconds =>
    Math.min(LONGEST_AGE_MS, Math.max(0, Math.round(now - at)));

const cut = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
    Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size));

/** Reports with few names each, so that any of them fits into a datagram. */
const splitReport = (report: CrashReport): readonly CrashReport[] =>
    cut<Fingerprint>(report.fingerprints, MOST_NAMES).map((fingerprints) => ({ ...report, fingerprints }));

/** A crash's id, node and age take the room of so many names. */
const NAMES_OF_A_HEAD = 4;

const packReports = (reports: readonly CrashReport[]): readonly (readonly CrashReport[])[] => {
    const packs: CrashReport[][] = [];
    let room = 0;
    for (const report of reports.flatMap(splitReport)) {
        const size = report.fingerprints.length + NAMES_OF_A_HEAD;
        if (size > room || packs.length === 0) {
            packs.push([]);
            room = MOST_NAMES + NAMES_OF_A_HEAD;
        }
        packs.at(-1)?.push(report);
        room -= size;
    }
    return packs;
};

const describeCrash = ({ at, ...report }: CrashReport, now: Milliseconds): EvidenceTold["crashes"][number] =>
    ({ ...report, fingerprints: [...report.fingerprints], ageMs: toAge(at, now) });

const describeGoodRun = ({ fingerprint, at }: GoodRun, now: Milliseconds): EvidenceTold["goodRuns"][number] =>
    ({ fingerprint, ageMs: toAge(at, now) });

/** The messages that tell `evidence`, each small enough for a datagram. */
export const describeEvidence = ({ crashes, goodRuns }: Evidence, now: Milliseconds): readonly EvidenceMessage[] => [
    ...packReports(crashes).map((reports): EvidenceMessage =>
        ({ kind: "Evidence", crashes: reports.map((report) => describeCrash(report, now)), goodRuns: [] })),
    ...cut(goodRuns, MOST_GOOD_RUNS).map((runs): EvidenceMessage =>
        ({ kind: "Evidence", crashes: [], goodRuns: runs.map((run) => describeGoodRun(run, now)) })),
];

/** What a message tells, in this node's time. */
export const readEvidence = ({ crashes, goodRuns }: EvidenceTold, now: Milliseconds): Evidence => ({
    crashes: crashes.map(({ ageMs, ...report }) => ({ ...report, at: now - ageMs })),
    goodRuns: goodRuns.map(({ fingerprint, ageMs }) => ({ fingerprint, at: now - ageMs })),
});
