import { expect } from "chai";
import fastCheck from "fast-check";
import type { CrashReport } from "../evidence.js";
import { createEvidenceBook, type EvidenceBook } from "../evidenceBook.js";
import type { Fingerprint } from "../fingerprint.js";
import { defaultContainmentOptions, type ContainmentOptions } from "../options.js";

const { holdMs, holdMaximumMs, forgetMs, trustMs } = defaultContainmentOptions;

const nameOf = (text: string): Fingerprint => text.padEnd(16, "_");
const CRASHER = nameOf("crasher");
const POPULAR = nameOf("popular");
const OTHER = nameOf("other");

const report = (crash: number, at: number, ...fingerprints: readonly Fingerprint[]): CrashReport =>
    ({ crash: `c-${crash}`, node: `node-${crash}`, at, fingerprints });

const createBook = (changes: Partial<ContainmentOptions> = {}): EvidenceBook =>
    createEvidenceBook({ ...defaultContainmentOptions, ...changes });

/** Three crashes at 1, 2 and 3, beside which `fingerprint` ran. */
const crashThrice = (book: EvidenceBook, fingerprint: Fingerprint): void =>
    [1, 2, 3].forEach((crash) => book.noteCrash(report(crash, crash, fingerprint)));

type Fact = (book: EvidenceBook) => unknown;

/** Each of two books is told all that the other one holds, twice. */
const exchange = (one: EvidenceBook, other: EvidenceBook): void => {
    for (const [from, to] of [[one, other], [other, one], [one, other], [other, one]] as const) {
        const { crashes, goodRuns } = from.list();
        crashes.forEach(to.noteCrash);
        goodRuns.forEach(to.noteGoodRun);
    }
};

describe("createEvidenceBook", () => {
    it("holds nothing against anybody at first", () => {
        const book = createBook();

        expect(book.hasSuspects()).to.equal(false);
        expect(book.digest()).to.equal(0);
        expect(book.judge(CRASHER, 0)).to.deep.equal({ kind: "Free" });
    });

    it("goes from suspect over probation to contained with three crashes", () => {
        const book = createBook();
        const kinds = [1, 2, 3].map((crash) => {
            book.noteCrash(report(crash, crash, CRASHER));
            return book.judge(CRASHER, crash).kind;
        });

        expect(kinds).to.deep.equal(["Suspect", "Probation", "Contained"]);
        const crashes = [1, 2, 3].map((crash) => ({ crash: `c-${crash}`, node: `node-${crash}` }));
        expect(book.findContained(CRASHER, 3))
            .to.deep.equal({ fingerprint: CRASHER, since: 3, until: 3 + holdMs, crashes });
    });

    it("counts a crash once, however often it is told", () => {
        const book = createBook();

        expect(book.noteCrash(report(1, 1, CRASHER, POPULAR))?.fingerprints).to.deep.equal([CRASHER, POPULAR]);
        expect(book.noteCrash(report(1, 2, CRASHER, OTHER))?.fingerprints).to.deep.equal([OTHER]);
        expect(book.noteCrash(report(1, 2, CRASHER))).to.equal(undefined);
        expect(book.judge(CRASHER, 2)).to.deep.equal({ kind: "Suspect", crashes: 1 });
    });

    it("never blames a popular read that ends well between crashes that it runs beside", () => {
        const book = createBook();
        for (let crash = 1; crash <= 50; crash++) {
            book.noteCrash(report(crash, 10 * crash, CRASHER, POPULAR));
            expect(book.judge(POPULAR, 10 * crash).kind).to.not.equal("Contained");
            book.noteGoodRun({ fingerprint: POPULAR, at: 10 * crash + 5 });
            expect(book.judge(POPULAR, 10 * crash + 5)).to.deep.equal({ kind: "Free" });
        }

        expect(book.judge(CRASHER, 500).kind).to.equal("Contained");
    });

    it("takes one crash lightly of a request that ended well lately, and not of one that did long ago", () => {
        const book = createBook();
        book.noteCrash(report(1, 1, POPULAR));
        book.noteGoodRun({ fingerprint: POPULAR, at: 2 });
        book.noteCrash(report(2, 3, POPULAR));

        expect(book.judge(POPULAR, 4).kind).to.equal("Free");
        expect(book.judge(POPULAR, 3 + trustMs).kind).to.equal("Suspect");
    });

    it("lets a contained request go for one try after its time, and refuses it for twice as long after another crash", () => {
        const book = createBook();
        crashThrice(book, CRASHER);

        expect(book.judge(CRASHER, 3 + holdMs - 1).kind).to.equal("Contained");
        expect(book.judge(CRASHER, 3 + holdMs).kind).to.equal("Probation");
        const again = 3 + holdMs + 10;
        book.noteCrash(report(4, again, CRASHER));
        expect(book.judge(CRASHER, again)).to.deep.equal({ kind: "Contained", crashes: 4, until: again + 2 * holdMs });
    });

    it("never refuses for longer than the longest time", () => {
        const book = createBook();
        for (let crash = 1; crash <= 40; crash++) {
            book.noteCrash(report(crash, crash, CRASHER));
        }

        expect(book.judge(CRASHER, 40)).to.include({ kind: "Contained", until: 40 + holdMaximumMs });
    });

    it("lets a contained request go once it has ended well", () => {
        const book = createBook();
        crashThrice(book, CRASHER);

        expect(book.noteGoodRun({ fingerprint: CRASHER, at: 4 })).to.equal(true);
        expect(book.judge(CRASHER, 4)).to.deep.equal({ kind: "Free" });
        expect(book.hasSuspects()).to.equal(false);
    });

    it("is not cleared by a run that ended before the crash", () => {
        const book = createBook();
        crashThrice(book, CRASHER);

        expect(book.noteGoodRun({ fingerprint: CRASHER, at: 0.5 })).to.equal(false);
        expect(book.judge(CRASHER, 4).kind).to.equal("Contained");
    });

    it("forgets evidence of which nothing was heard for long, and not what is refused", () => {
        const book = createBook();
        crashThrice(book, CRASHER);
        book.noteCrash(report(1, 1, OTHER));
        book.prune(1 + forgetMs);

        expect(book.size()).to.equal(1);
        expect(book.judge(CRASHER, 4).kind).to.equal("Contained");
        book.prune(3 + holdMs + forgetMs);
        expect(book.size()).to.equal(0);
    });

    it("drops requests with one crash before contained ones when there are too many", () => {
        const book = createBook({ mostSuspects: 16 });
        crashThrice(book, CRASHER);
        for (let crash = 10; crash < 60; crash++) {
            book.noteCrash(report(crash, crash, nameOf(`varied-${crash}`)));
        }

        expect(book.size()).to.equal(16);
        expect(book.judge(CRASHER, 60).kind).to.equal("Contained");
    });

    it("lists what matters most when there is much, and no more than a few datagrams hold", () => {
        const book = createBook();
        crashThrice(book, CRASHER);
        for (let crash = 10; crash < 1000; crash++) {
            book.noteCrash(report(crash, crash, nameOf(`varied-${crash}`)));
        }
        const { crashes } = book.list();
        const names = crashes.flatMap(({ fingerprints }) => fingerprints);

        expect(new Set(names).size).to.equal(256);
        expect(names.filter((name) => name === CRASHER).length).to.equal(3);
        expect(book.digest()).to.not.equal(0);
    });

    it("comes to the same judgements as another one, whatever came in which order, once they have told each other", () => {
        const names = [CRASHER, POPULAR, OTHER];
        const crash = fastCheck.record({
            number: fastCheck.integer({ min: 1, max: 6 }),
            running: fastCheck.subarray(names, { minLength: 1 }),
        }).map(({ number, running }): Fact => (book) => book.noteCrash(report(number, 10 * number, ...running)));
        const goodRun = fastCheck.record({
            fingerprint: fastCheck.constantFrom(...names),
            at: fastCheck.integer({ min: 1, max: 70 }),
        }).map((run): Fact => (book) => book.noteGoodRun(run));
        const facts = fastCheck.array(fastCheck.oneof(crash, goodRun), { maxLength: 30 });
        fastCheck.assert(fastCheck.property(facts, (told) => {
            const [one, other] = [createBook(), createBook()];
            told.forEach((fact) => fact(one));
            [...told].reverse().forEach((fact) => fact(other));
            exchange(one, other);

            expect(other.digest()).to.equal(one.digest());
            for (const name of names) {
                expect(other.judge(name, 100)).to.deep.equal(one.judge(name, 100));
            }
        }), { seed: 36, numRuns: 500 });
    });
});
