import { expect } from "chai";
import fastCheck from "fast-check";
import { planZoneShares } from "../zoneShares.js";

const zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
const weightsArbitrary = fastCheck
    .array(fastCheck.nat(1000), { minLength: zones.length, maxLength: zones.length })
    .filter((weights) => weights.some((weight) => weight > 0));

describe("planZoneShares", () => {
    it("splits requests by weight when the caller spread is unknown", () => {
        const weights = new Map([["hall-a", 1], ["hall-b", 3], ["hall-c", 0]]);
        expect([...planZoneShares(weights, "hall-a", "unknown")]).to.deep.equal([["hall-a", 0.25], ["hall-b", 0.75]]);
    });

    it("meets the weights over the fleet with evenly spread callers and maximises local requests", () => {
        fastCheck.assert(fastCheck.property(weightsArbitrary, (values) => {
            const weights = new Map(zones.map((zone, index) => [zone, values[index] ?? 0]));
            const total = values.reduce((sum, value) => sum + value, 0);
            const received = new Map<string, number>();
            for (const localZone of zones) {
                const shares = planZoneShares(weights, localZone, "evenOverZones");
                for (const [zone, share] of shares) {
                    received.set(zone, (received.get(zone) ?? 0) + share / zones.length);
                }
                const fair = (weights.get(localZone) ?? 0) / total;
                expect(shares.get(localZone) ?? 0).to.be.closeTo(Math.min(1, fair * zones.length), 1e-9);
            }
            for (const [zone, weight] of weights) {
                expect(received.get(zone) ?? 0).to.be.closeTo(weight / total, 1e-9);
            }
        }));
    });
});
