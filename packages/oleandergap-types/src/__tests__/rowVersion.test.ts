import { expect } from "chai";
import { isSameWrite, type RowVersion } from "../index.js";

describe("isSameWrite", () => {
    const createVersion = (era: number, version: number, writeId?: string): RowVersion => ({ era, version, writeId });

    it("distinguishes equal versions of two eras", () => {
        expect(isSameWrite(createVersion(1, 7), createVersion(2, 7))).to.equal(false);
        expect(isSameWrite(createVersion(1, 7, "a"), createVersion(2, 7, "b"))).to.equal(false);
        expect(isSameWrite(createVersion(1, 7), createVersion(1, 7))).to.equal(true);
    });

    it("recognises a write that was kept by a restore", () => {
        expect(isSameWrite(createVersion(1, 7, "a"), createVersion(2, 7, "a"))).to.equal(true);
        expect(isSameWrite(createVersion(1, 7, "a"), createVersion(1, 7))).to.equal(false);
    });
});
