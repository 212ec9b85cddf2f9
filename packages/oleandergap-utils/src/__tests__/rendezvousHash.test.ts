import { expect } from "chai";
import * as fc from "fast-check";
import { rankByRendezvous } from "../index.js";

const candidateNames = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 2, maxLength: 12 });
const getName = (name: string): string => name;

describe("rankByRendezvous", () => {
    it("does not depend on the order of the candidates", () => {
        fc.assert(fc.property(fc.string(), candidateNames, (key, candidates) => {
            const reversed = [...candidates].reverse();
            const expected = rankByRendezvous(key, candidates, getName);
            expect(rankByRendezvous(key, reversed, getName)).to.deep.equal(expected);
        }));
    });

    it("keeps the order of the remaining candidates when a candidate leaves", () => {
        fc.assert(fc.property(fc.string(), candidateNames, (key, candidates) => {
            const [removed, ...remaining] = candidates;
            const expected = rankByRendezvous(key, candidates, getName).filter((name) => name !== removed);
            expect(rankByRendezvous(key, remaining, getName)).to.deep.equal(expected);
        }));
    });
});
