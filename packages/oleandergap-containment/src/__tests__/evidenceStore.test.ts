import { expect } from "chai";
import fastCheck from "fast-check";
import type { CrashReport } from "../evidence.js";
import { createEvidenceStore, type EvidenceStore } from "../evidenceStore.js";
import type { Fingerprint } from "../fingerprint.js";
import { defaultContainmentOptions, type ContainmentOptions } from "../options.js";

const { holdMs, holdMaximumMs, forgetMs, trustMs } = defaultContainmentOptions;

const createFingerprint = (text: string): Fingerprint => text.padEnd(16, "_");
const CRASHER = createFingerprint("crasher");
const POPULAR = createFingerprint("popular");
const OTHER = createFingerprint("other");

const createReport = (crash: number, at: number, ...fingerprints: readonly Fingerprint[]): CrashReport =>
    ({ crash: `c-${crash}`, node: `node-${crash}`, at, fingerprints });

const createStore = (changes: Partial<ContainmentOptions> = {}): EvidenceStore =>
    createEvidenceStore({ ...defaultContainmentOptions, ...changes });

/** Records crashes at times 1, 2 and 3 while `fingerprint` was running. */
const recordThreeCrashes = (store: EvidenceStore, fingerprint: Fingerprint): void =>
    [1, 2, 3].forEach((crash) => store.recordCrash(createReport(crash, crash, fingerprint)));

type ApplyEvidence = (store: EvidenceStore) => unknown;

/** Merges all evidence of each store into the other one, twice. */
const exchangeEvidence = (first: EvidenceStore, second: EvidenceStore): void => {
    for (const [from, to] of [[first, second], [second, first], [first, second], [second, first]] as const) {
        const { crashes, goodRuns } = from.list();
        crashes.forEach(to.recordCrash);
        goodRuns.forEach(to.recordGoodRun);
    }
};

describe("createEvidenceStore", () => {
    it("starts without evidence against any request", () => {
        const store = createStore();

        expect(store.hasSuspects()).to.equal(false);
        expect(store.digest()).to.equal(0);
        expect(store.judge(CRASHER, 0)).to.deep.equal({ kind: "Free" });
    });

    it("changes a request from suspect to probation to contained with three crashes", () => {
        const store = createStore();
        const kinds = [1, 2, 3].map((crash) => {
            store.recordCrash(createReport(crash, crash, CRASHER));
            return store.judge(CRASHER, crash).kind;
        });

        expect(kinds).to.deep.equal(["Suspect", "Probation", "Contained"]);
        const crashes = [1, 2, 3].map((crash) => ({ crash: `c-${crash}`, node: `node-${crash}` }));
        expect(store.findContained(CRASHER, 3))
            .to.deep.equal({ fingerprint: CRASHER, since: 3, until: 3 + holdMs, crashes });
    });

    it("counts a crash once when it is reported repeatedly", () => {
        const store = createStore();

        expect(store.recordCrash(createReport(1, 1, CRASHER, POPULAR))?.fingerprints).to.deep.equal([CRASHER, POPULAR]);
        expect(store.recordCrash(createReport(1, 2, CRASHER, OTHER))?.fingerprints).to.deep.equal([OTHER]);
        expect(store.recordCrash(createReport(1, 2, CRASHER))).to.equal(undefined);
        expect(store.judge(CRASHER, 2)).to.deep.equal({ kind: "Suspect", crashes: 1 });
    });

    it("never contains a popular read that completes between crashes during which it was running", () => {
        const store = createStore();
        for (let crash = 1; crash <= 50; crash++) {
            store.recordCrash(createReport(crash, 10 * crash, CRASHER, POPULAR));
            expect(store.judge(POPULAR, 10 * crash).kind).to.not.equal("Contained");
            store.recordGoodRun({ fingerprint: POPULAR, at: 10 * crash + 5 });
            expect(store.judge(POPULAR, 10 * crash + 5)).to.deep.equal({ kind: "Free" });
        }

        expect(store.judge(CRASHER, 500).kind).to.equal("Contained");
    });

    it("ignores a single crash shortly after a good run, but not long after it", () => {
        const store = createStore();
        store.recordCrash(createReport(1, 1, POPULAR));
        store.recordGoodRun({ fingerprint: POPULAR, at: 2 });
        store.recordCrash(createReport(2, 3, POPULAR));

        expect(store.judge(POPULAR, 4).kind).to.equal("Free");
        expect(store.judge(POPULAR, 3 + trustMs).kind).to.equal("Suspect");
    });

    it("allows one attempt after the hold time, and doubles the hold time after another crash", () => {
        const store = createStore();
        recordThreeCrashes(store, CRASHER);

        expect(store.judge(CRASHER, 3 + holdMs - 1).kind).to.equal("Contained");
        expect(store.judge(CRASHER, 3 + holdMs).kind).to.equal("Probation");
        const fourthCrashAt = 3 + holdMs + 10;
        store.recordCrash(createReport(4, fourthCrashAt, CRASHER));
        expect(store.judge(CRASHER, fourthCrashAt)).to.deep.equal({
            kind: "Contained",
            crashes: 4,
            until: fourthCrashAt + 2 * holdMs,
        });
    });

    it("never refuses a request for longer than the maximum hold time", () => {
        const store = createStore();
        for (let crash = 1; crash <= 40; crash++) {
            store.recordCrash(createReport(crash, crash, CRASHER));
        }

        expect(store.judge(CRASHER, 40)).to.include({ kind: "Contained", until: 40 + holdMaximumMs });
    });

    it("stops refusing a contained request after a good run", () => {
        const store = createStore();
        recordThreeCrashes(store, CRASHER);

        expect(store.recordGoodRun({ fingerprint: CRASHER, at: 4 })).to.equal(true);
        expect(store.judge(CRASHER, 4)).to.deep.equal({ kind: "Free" });
        expect(store.hasSuspects()).to.equal(false);
    });

    it("keeps a request contained after a good run that ended before the crash", () => {
        const store = createStore();
        recordThreeCrashes(store, CRASHER);

        expect(store.recordGoodRun({ fingerprint: CRASHER, at: 0.5 })).to.equal(false);
        expect(store.judge(CRASHER, 4).kind).to.equal("Contained");
    });

    it("deletes expired evidence but keeps contained requests", () => {
        const store = createStore();
        recordThreeCrashes(store, CRASHER);
        store.recordCrash(createReport(1, 1, OTHER));
        store.prune(1 + forgetMs);

        expect(store.size()).to.equal(1);
        expect(store.judge(CRASHER, 4).kind).to.equal("Contained");
        store.prune(3 + holdMs + forgetMs);
        expect(store.size()).to.equal(0);
    });

    it("deletes requests with one crash before contained ones when there are too many", () => {
        const store = createStore({ mostSuspects: 16 });
        recordThreeCrashes(store, CRASHER);
        for (let crash = 10; crash < 60; crash++) {
            store.recordCrash(createReport(crash, crash, createFingerprint(`varied-${crash}`)));
        }

        expect(store.size()).to.equal(16);
        expect(store.judge(CRASHER, 60).kind).to.equal("Contained");
    });

    it("lists the most important evidence up to the size of a few datagrams", () => {
        const store = createStore();
        recordThreeCrashes(store, CRASHER);
        for (let crash = 10; crash < 1000; crash++) {
            store.recordCrash(createReport(crash, crash, createFingerprint(`varied-${crash}`)));
        }
        const { crashes } = store.list();
        const listedFingerprints = crashes.flatMap(({ fingerprints }) => fingerprints);

        expect(new Set(listedFingerprints).size).to.equal(256);
        expect(listedFingerprints.filter((fingerprint) => fingerprint === CRASHER).length).to.equal(3);
        expect(store.digest()).to.not.equal(0);
    });

    it("reaches the same judgements as another store after they exchange evidence received in different orders", () => {
        const fingerprints = [CRASHER, POPULAR, OTHER];
        const crash = fastCheck.record({
            number: fastCheck.integer({ min: 1, max: 6 }),
            running: fastCheck.subarray(fingerprints, { minLength: 1 }),
        }).map(({ number, running }): ApplyEvidence => (store) =>
            store.recordCrash(createReport(number, 10 * number, ...running)));
        const goodRun = fastCheck.record({
            fingerprint: fastCheck.constantFrom(...fingerprints),
            at: fastCheck.integer({ min: 1, max: 70 }),
        }).map((run): ApplyEvidence => (store) => store.recordGoodRun(run));
        const evidence = fastCheck.array(fastCheck.oneof(crash, goodRun), { maxLength: 30 });
        fastCheck.assert(fastCheck.property(evidence, (applied) => {
            const [first, second] = [createStore(), createStore()];
            applied.forEach((apply) => apply(first));
            [...applied].reverse().forEach((apply) => apply(second));
            exchangeEvidence(first, second);

            expect(second.digest()).to.equal(first.digest());
            for (const fingerprint of fingerprints) {
                expect(second.judge(fingerprint, 100)).to.deep.equal(first.judge(fingerprint, 100));
            }
        }), { seed: 36, numRuns: 500 });
    });
});
