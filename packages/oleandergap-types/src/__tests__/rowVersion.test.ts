import { expect } from "chai";
import { isSameWrite, type RowVersion } from "../index.js";

describe("isSameWrite", () => {
    const write = (era: number, version: number, writeId?: string): RowVersion => ({ era, version, writeId });

    it("does not take equal versions of two eras for the same write", () => {
        expect(isSameWrite(write(1, 7), write(2, 7))).to.equal(false);
        expect(isSameWrite(write(1, 7, "a"), write(2, 7, "b"))).to.equal(false);
        expect(isSameWrite(write(1, 7), write(1, 7))).to.equal(true);
    });

    it("knows a write again that a restore has kept", () => {
        expect(isSameWrite(write(1, 7, "a"), write(2, 7, "a"))).to.equal(true);
        expect(isSameWrite(write(1, 7, "a"), write(1, 7))).to.equal(false);
    });
});
