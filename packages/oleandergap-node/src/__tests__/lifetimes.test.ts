import { expect } from "chai";
import type { Announcement } from "oleandergap-types";
import { createLifetimes } from "../target/lifetimes.js";
import { createAnnouncement } from "./support.js";

const createInstanceAnnouncement = (instanceId: string, sequence: number): Announcement =>
    ({ ...createAnnouncement(17_090), instanceId, sequence });

describe("createLifetimes", () => {
    it("ignores an announcement that arrives after a later one", () => {
        // Guards against sending requests to a target that is leaving. If announcements are accepted in order of
        // arrival, a delayed announcement overwrites a later one that states that the target leaves.
        const lifetimes = createLifetimes();
        expect(lifetimes.accept(createInstanceAnnouncement("first", 5))).to.equal(true);
        expect(lifetimes.accept(createInstanceAnnouncement("first", 4))).to.equal(false);
        expect(lifetimes.accept(createInstanceAnnouncement("first", 5))).to.equal(false);
        expect(lifetimes.accept(createInstanceAnnouncement("first", 6))).to.equal(true);
    });

    it("never restores a lifetime that has been withdrawn", () => {
        // Guards against refused requests after a replacement of a target. If the latest announcement always wins, a
        // delayed announcement of the withdrawn target replaces its successor at the same address.
        const lifetimes = createLifetimes();
        lifetimes.accept(createInstanceAnnouncement("first", 1));
        lifetimes.end("first");
        expect(lifetimes.accept(createInstanceAnnouncement("second", 1))).to.equal(true);
        expect(lifetimes.accept(createInstanceAnnouncement("first", 9))).to.equal(false);
    });

    it("accepts the next announcement of the current lifetime after one of another lifetime", () => {
        const lifetimes = createLifetimes();
        lifetimes.accept(createInstanceAnnouncement("second", 1));
        lifetimes.accept(createInstanceAnnouncement("first", 30));
        expect(lifetimes.accept(createInstanceAnnouncement("second", 2))).to.equal(true);
    });

    it("accepts announcements without an instance id", () => {
        const lifetimes = createLifetimes();
        expect(lifetimes.accept(createAnnouncement(17_090))).to.equal(true);
        expect(lifetimes.accept(createAnnouncement(17_090))).to.equal(true);
    });

    it("recognizes a target that restarts with the same instance id", () => {
        // Guards against a restarted target that receives no requests. Its sequence numbers start from 0 again, so they
        // count as outdated if lifetimes are distinguished by the instance id alone.
        const lifetimes = createLifetimes();
        const createLifetimeAnnouncement = (bornAt: number, sequence: number): Announcement => ({ ...createInstanceAnnouncement("first", sequence), bornAt });
        expect(lifetimes.accept(createLifetimeAnnouncement(1000, 40))).to.equal(true);
        expect(lifetimes.accept(createLifetimeAnnouncement(2000, 0))).to.equal(true);
        expect(lifetimes.accept(createLifetimeAnnouncement(1000, 41))).to.equal(false);
        expect(lifetimes.accept(createLifetimeAnnouncement(2000, 1))).to.equal(true);
    });

    it("accepts a target that restarts with the instance id of a withdrawn lifetime", () => {
        const lifetimes = createLifetimes();
        const createLifetimeAnnouncement = (bornAt: number, sequence: number): Announcement => ({ ...createInstanceAnnouncement("first", sequence), bornAt });
        lifetimes.accept(createLifetimeAnnouncement(1000, 3));
        expect(lifetimes.end("first", 1000)).to.equal(true);
        expect(lifetimes.accept(createLifetimeAnnouncement(2000, 0))).to.equal(true);
        expect(lifetimes.end("first", 1000)).to.equal(false);
        expect(lifetimes.accept(createLifetimeAnnouncement(2000, 1))).to.equal(true);
    });
});
