import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import { createEraWatch, type EraWatch } from "../eraWatch.js";

describe("createEraWatch", () => {
    let lines: string[];
    let watch: EraWatch;

    beforeEach(() => {
        lines = [];
        const recordLine = (line: string): void => {
            lines.push(line);
        };
        const logger: Logger = { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine };
        watch = createEraWatch(logger);
    });

    const noteEras = (texts: readonly (string | undefined)[]): readonly (number | string)[] =>
        texts.map((text) => either.match<{ kind: string }, number, number | string>(
            ({ kind }) => kind,
            (era) => era,
        )(watch.note(text)));

    it("assigns all responses of a store that does not report its era to era 0, without logging", () => {
        expect(noteEras([undefined, undefined])).to.deep.equal([0, 0]);
        expect(lines).to.deep.equal([]);
    });

    it("counts and logs each restore of the store, but not the first response", () => {
        expect(noteEras(["3", "3", "4", "4", "6"])).to.deep.equal([3, 3, 4, 4, 6]);
        expect(lines).to.have.length(2);
        expect(watch.counters()).to.deep.equal({ storeRestores: 2, answersOutOfEra: 0 });
    });

    it("calls its listeners after each restore, when the new era is the newest", () => {
        const eras: (number | undefined)[] = [];
        watch.subscribe(() => eras.push(watch.newest()));
        noteEras(["3", "3", "4", "later", "3", "6"]);
        expect(eras).to.deep.equal([4, 6]);
    });

    for (const text of ["", " ", "-1", "+2", "2.5", "1e3", "0x2", "later", "2, 3", "NaN", "9".repeat(16)]) {
        it(`rejects responses with the unreadable era "${text}" and logs the error once`, () => {
            expect(noteEras(["1", text, text, "1", "2"])).to.deep.equal([1, "UnreadableEra", "UnreadableEra", 1, 2]);
            expect(lines).to.have.length(2);
            expect(watch.counters()).to.deep.equal({ storeRestores: 1, answersOutOfEra: 2 });
        });
    }

    it("rejects responses of an earlier era, or without an era after one was reported, and logs the error once", () => {
        expect(noteEras(["7", "6", "6", undefined, "7"]))
            .to.deep.equal([7, "EarlierEra", "EarlierEra", "EarlierEra", 7]);
        expect(lines).to.have.length(1);
        expect(watch.newest()).to.equal(7);
    });
});
