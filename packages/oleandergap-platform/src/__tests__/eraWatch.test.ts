import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import { createEraWatch, type EraWatch } from "../eraWatch.js";

describe("createEraWatch", () => {
    let lines: string[];
    let watch: EraWatch;

    beforeEach(() => {
        lines = [];
        const note = (line: string): void => {
            lines.push(line);
        };
        const logger: Logger = { debug: note, info: note, warn: note, error: note };
        watch = createEraWatch(logger);
    });

    const noteAll = (texts: readonly (string | undefined)[]): readonly (number | string)[] =>
        texts.map((text) => either.match<{ kind: string }, number, number | string>(
            ({ kind }) => kind,
            (era) => era,
        )(watch.note(text)));

    it("counts all of an older store's life as one era, without a log line", () => {
        expect(noteAll([undefined, undefined])).to.deep.equal([0, 0]);
        expect(lines).to.deep.equal([]);
    });

    it("logs each restore of the store, and none at the first answer", () => {
        expect(noteAll(["3", "3", "4", "4", "6"])).to.deep.equal([3, 3, 4, 4, 6]);
        expect(lines).to.have.length(2);
        expect(watch.counters()).to.deep.equal({ storeRestores: 2, answersOutOfEra: 0 });
    });

    for (const text of ["", " ", "-1", "+2", "2.5", "1e3", "0x2", "later", "2, 3", "NaN", "9".repeat(16)]) {
        it(`uses no answer that names the era "${text}", and logs it once`, () => {
            expect(noteAll(["1", text, text, "1", "2"])).to.deep.equal([1, "UnreadableEra", "UnreadableEra", 1, 2]);
            expect(lines).to.have.length(2);
            expect(watch.counters()).to.deep.equal({ storeRestores: 1, answersOutOfEra: 2 });
        });
    }

    it("uses no answer of an earlier era, or of none after one, and logs it once", () => {
        expect(noteAll(["7", "6", "6", undefined, "7"]))
            .to.deep.equal([7, "EarlierEra", "EarlierEra", "EarlierEra", 7]);
        expect(lines).to.have.length(1);
        expect(watch.newest()).to.equal(7);
    });
});
