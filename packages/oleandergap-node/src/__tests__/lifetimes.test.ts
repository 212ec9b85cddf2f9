import { expect } from "chai";
import type { Announcement } from "oleandergap-types";
import { createLifetimes } from "../target/lifetimes.js";
import { createAnnouncement } from "./support.js";

const announce = (instanceId: string, sequence: number): Announcement =>
    ({ ...createAnnouncement(17_090), instanceId, sequence });

describe("createLifetimes", () => {
    it("drops an announcement that a later one has overtaken", () => {
        // Symptom: a target that said that it leaves receives requests again.
        // Sequence: announcement 4 is held up; 5 says that the target leaves; then 4 arrives.
        // Cause: announcements taken in the order in which they arrive.
        const lifetimes = createLifetimes();
        expect(lifetimes.accept(announce("first", 5))).to.equal(true);
        expect(lifetimes.accept(announce("first", 4))).to.equal(false);
        expect(lifetimes.accept(announce("first", 5))).to.equal(false);
        expect(lifetimes.accept(announce("first", 6))).to.equal(true);
    });

    it("never revives a lifetime that said goodbye", () => {
        // Symptom: requests are refused by a target's successor for a second or more.
        // Sequence: a target says goodbye; another one takes its address; a late announcement of the first arrives.
        // Cause: whoever announced itself last is taken for the present target.
        const lifetimes = createLifetimes();
        lifetimes.accept(announce("first", 1));
        lifetimes.end("first");
        expect(lifetimes.accept(announce("second", 1))).to.equal(true);
        expect(lifetimes.accept(announce("first", 9))).to.equal(false);
    });

    it("returns to the present lifetime at its next announcement", () => {
        const lifetimes = createLifetimes();
        lifetimes.accept(announce("second", 1));
        lifetimes.accept(announce("first", 30));
        expect(lifetimes.accept(announce("second", 2))).to.equal(true);
    });

    it("accepts targets that name no lifetime", () => {
        const lifetimes = createLifetimes();
        expect(lifetimes.accept(createAnnouncement(17_090))).to.equal(true);
        expect(lifetimes.accept(createAnnouncement(17_090))).to.equal(true);
    });

    it("knows a target that starts again under its name", () => {
        // Symptom: a target that has restarted receives no request for as long as its former life lasted.
        // Sequence: a target has announced itself 40 times; it crashes, starts again under its name and counts from 0.
        // Cause: lifetimes were told apart by name alone, so its announcements were taken for late ones.
        const lifetimes = createLifetimes();
        const inLife = (bornAt: number, sequence: number): Announcement => ({ ...announce("first", sequence), bornAt });
        expect(lifetimes.accept(inLife(1000, 40))).to.equal(true);
        expect(lifetimes.accept(inLife(2000, 0))).to.equal(true);
        expect(lifetimes.accept(inLife(1000, 41))).to.equal(false);
        expect(lifetimes.accept(inLife(2000, 1))).to.equal(true);
    });

    it("lets a target come back under the name with which it said goodbye", () => {
        const lifetimes = createLifetimes();
        const inLife = (bornAt: number, sequence: number): Announcement => ({ ...announce("first", sequence), bornAt });
        lifetimes.accept(inLife(1000, 3));
        expect(lifetimes.end("first", 1000)).to.equal(true);
        expect(lifetimes.accept(inLife(2000, 0))).to.equal(true);
        expect(lifetimes.end("first", 1000)).to.equal(false);
        expect(lifetimes.accept(inLife(2000, 1))).to.equal(true);
    });
});
