// Guards against pulls of small deltas that fit into a datagram only after packing. A change of four routes has 31
// cells, 1.9 KB of text. If members with saturated links must pull it over a connection, they receive it up to a second
// late: of 57 members, none received it in a datagram, and the last one received it 0.85 s after its offer.
import { expect } from "chai";
import { packText, unpackText } from "oleandergap-membership";
import { expectInForceEverywhere } from "./fleetAssertions.js";
import { createInMemoryFleet, type InMemoryFleet } from "./inMemoryFleet.js";
import { createLimits } from "./recordingStore.js";

/** About as many cells as a delta of a few added and removed routes. */
const ADDED_LIMITS = createLimits("lookups", 10);

/** Returns for each node how many versions it applied from datagrams. */
const countInlineApplied = ({ nodes }: InMemoryFleet): readonly number[] =>
    nodes.map(({ spread }) => spread.stats().inlineApplied);

describe("the distribution of a delta of a few rows", () => {
    it("uses datagrams only", async () => {
        const fleet = createInMemoryFleet({ zones: 2, nodesPerZone: 14, seed: 3 });
        await fleet.startAll();
        const before = countInlineApplied(fleet);
        fleet.acceptAt(fleet.node(0), "halloway", ADDED_LIMITS);
        await fleet.clock.advance(100);
        expectInForceEverywhere(fleet, "halloway");
        const after = countInlineApplied(fleet);
        const appliedOtherwise = fleet.nodes.slice(1).filter(({ spread }, index) =>
            !spread.stats().reading && after[index + 1] === before[index + 1]);
        expect(appliedOtherwise.map(({ address }) => address.id)).to.deep.equal([]);
        expect(fleet.sent.filter(({ message }) => message.kind === "Offer")).to.deep.equal([]);
        fleet.stop();
    });
});

describe("packText", () => {
    it("restores long and short texts, and rejects data that is corrupted or too large when unpacked", () => {
        for (const text of ["{}", JSON.stringify(ADDED_LIMITS), JSON.stringify({ name: "ä".repeat(1_000) })]) {
            expect(unpackText(packText(text))).to.equal(text);
        }
        const packed = packText(JSON.stringify(ADDED_LIMITS));
        expect(unpackText(packed.slice(0, packed.length / 2))).to.equal(undefined);
        expect(unpackText(packText(" ".repeat(1_000_000)))).to.equal(undefined);
    });
});
