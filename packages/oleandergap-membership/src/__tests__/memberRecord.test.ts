import { expect } from "chai";
import * as fc from "fast-check";
import { createLogger } from "oleandergap-logger";
import type { Member, MemberState } from "oleandergap-types";
import { createManualClock, createSeededRandom, formatCanonicalJson } from "oleandergap-utils";
import { mergeRecords } from "../memberRecord.js";
import { createMemberTable, type MemberTable } from "../memberTable.js";
import { createMemberUpdates, type MemberUpdates } from "../memberUpdates.js";
import { createStatistics } from "../statistics.js";
import { createSuspicions } from "../suspicions.js";
import { createUpdateQueue } from "../updateQueue.js";
import { createTarget } from "./testCluster.js";

const states: readonly MemberState[] = ["alive", "suspect", "dead", "left"];

const aliveRecord: Member = {
    id: "node-1",
    zone: "zone-a",
    address: "10.0.0.1",
    controlPort: 17_082,
    gatePort: 17_081,
    incarnation: 7,
    state: "alive",
    revision: 0,
};

const recordArbitrary: fc.Arbitrary<Member> = fc
    .record({
        address: fc.constantFrom("10.0.0.1", "10.0.0.2"),
        incarnation: fc.integer({ min: 0, max: 3 }),
        state: fc.constantFrom(...states),
        revision: fc.integer({ min: 0, max: 2 }),
        service: fc.constantFrom("wills-desk", "grant-filer", undefined),
    })
    .map(({ service, ...record }) => ({
        ...aliveRecord,
        ...record,
        ...(service === undefined ? {} : { target: createTarget(service) }),
    }));

const withoutState = ({ state: _state, ...rest }: Member): string => formatCanonicalJson(rest);

/** Reference implementation that merges all records at once instead of one after the other. */
const mergeAllAtOnce = (records: readonly Member[]): Member => {
    const highest = Math.max(...records.map((record) => record.incarnation));
    const current = records.filter((record) => record.incarnation === highest);
    const latest = Math.max(...current.map((record) => record.revision));
    const description = current
        .filter((record) => record.revision === latest)
        .sort((left, right) => withoutState(left) < withoutState(right) ? 1 : -1)[0];
    const state = states[Math.max(...current.map((record) => states.indexOf(record.state)))];
    if (description === undefined || state === undefined) {
        throw new Error("no records");
    }
    return { ...description, state };
};

describe("mergeRecords", () => {
    it("returns the same result as the reference merge for any order and repetition of records", () => {
        const arrivals = fc.array(recordArbitrary, { minLength: 1, maxLength: 6 })
            .chain((records) => fc.tuple(
                fc.constant(records),
                fc.array(fc.constantFrom(...records), { maxLength: 6 }),
            ));
        fc.assert(fc.property(arrivals, ([records, repeated]) => {
            const merged = [...records, ...repeated].reduce(mergeRecords);
            expect(merged).to.deep.equal(mergeAllAtOnce(records));
        }), { numRuns: 500 });
    });

    it("returns the existing record itself if the incoming record changes nothing", () => {
        fc.assert(fc.property(recordArbitrary, (record) => {
            expect(mergeRecords(record, { ...record })).to.equal(record);
        }));
    });
});

describe("createMemberUpdates", () => {
    const createUpdates = (): { readonly table: MemberTable; readonly updates: MemberUpdates } => {
        const clock = createManualClock();
        const self: Member = { ...aliveRecord, id: "self", address: "10.0.0.9", incarnation: 5 };
        const table = createMemberTable({ self, clock, tombstoneMs: 1000 });
        const suspicions = createSuspicions({
            clock,
            random: createSeededRandom(1),
            suspicionTimeout: () => 1000,
            checkInterval: () => 100,
        });
        const updates = createMemberUpdates({
            selfId: "self",
            table,
            queue: createUpdateQueue(() => 10),
            suspicions,
            statistics: createStatistics(),
            logger: createLogger("membership"),
        });
        return { table, updates };
    };

    it("never replaces a record by one with a lower incarnation or an earlier revision of the same incarnation", () => {
        // Guards against a member that reappears in an earlier state after it restarted or left. This happens if late,
        // duplicate or reordered updates are accepted because they arrived last and not because they are newer.
        const arrival = fc.tuple(recordArbitrary, fc.constantFrom("Gossip" as const, "Sync" as const));
        fc.assert(fc.property(fc.array(arrival, { minLength: 1, maxLength: 10 }), (arrivals) => {
            const { table, updates } = createUpdates();
            for (const [record, source] of arrivals) {
                const before = table.get(record.id);
                updates.apply(record, source);
                const after = table.get(record.id);
                expect(after?.incarnation).to.be.at.least(before?.incarnation ?? 0);
                if (after?.incarnation === before?.incarnation) {
                    expect(after?.revision).to.be.at.least(before?.revision ?? 0);
                }
            }
            const highest = Math.max(...arrivals.map(([record]) => record.incarnation));
            expect(table.get("node-1")?.incarnation).to.equal(highest);
        }), { numRuns: 500 });
    });

    it("refutes a claim about this node with a higher incarnation", () => {
        const { table, updates } = createUpdates();
        const self = table.get("self");
        expect(self).to.not.equal(undefined);
        if (self !== undefined) {
            expect(updates.apply({ ...self, incarnation: 40, state: "dead" }, "Gossip")).to.equal("Refuted");
        }
        expect(table.get("self")).to.include({ incarnation: 41, state: "alive" });
    });

    it("downgrades a claim of death from an anti-entropy exchange until the member can refute it", () => {
        const { table, updates } = createUpdates();
        updates.apply(aliveRecord, "Gossip");
        expect(updates.apply({ ...aliveRecord, state: "dead" }, "Sync")).to.equal("Contested");
        expect(table.get(aliveRecord.id)?.state).to.equal("alive");
        expect(updates.apply({ ...aliveRecord, state: "dead" }, "Gossip")).to.equal("Contested");
        expect(table.get(aliveRecord.id)?.state).to.equal("suspect");
    });
});
