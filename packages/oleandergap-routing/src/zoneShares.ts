/** Computes how the requests that arrive at a node are distributed over the availability zones. */
import type { ZoneName } from "oleandergap-types";
import type { CallerSpread } from "./options.js";

/** Shares by zone. They add up to 1 unless all weights are 0. */
export type ZoneShares = ReadonlyMap<ZoneName, number>;

const normalise = (weights: ReadonlyMap<ZoneName, number>): ZoneShares => {
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const shares = [...weights]
        .filter(([, weight]) => weight > 0)
        .map(([zone, weight]): [ZoneName, number] => [zone, weight / total]);
    return new Map(shares);
};

/**
 * Computes shares that keep as many requests as possible in the local zone. With callers spread evenly, each of the `n`
 * zones receives 1/n of the requests and has to serve the share given by its weight. A zone whose share is at least
 * what it receives keeps all of its requests. Any other zone sends its surplus to the zones whose shares exceed what
 * they receive, in proportion to the difference.
 */
const planLocalShares = (shares: ZoneShares, zones: readonly ZoneName[], localZone: ZoneName): ZoneShares => {
    const receivedShare = 1 / zones.length;
    const keptShare = Math.min(1, (shares.get(localZone) ?? 0) / receivedShare);
    const shortfalls = new Map<ZoneName, number>();
    for (const [zone, share] of shares) {
        shortfalls.set(zone, Math.max(0, share - receivedShare));
    }
    const localShares = new Map<ZoneName, number>();
    for (const [zone, share] of normalise(shortfalls)) {
        localShares.set(zone, share * (1 - keptShare));
    }
    if (keptShare > 0) {
        localShares.set(localZone, (localShares.get(localZone) ?? 0) + keptShare);
    }
    return localShares;
};

/**
 * Returns the share of each zone in the requests of a node in `localZone`. Over the whole fleet, the shares match the
 * weights of the table; a zone of weight 0 gets none.
 */
export const planZoneShares = (
    weights: ReadonlyMap<ZoneName, number>,
    localZone: ZoneName,
    callerSpread: CallerSpread,
): ZoneShares => {
    const shares = normalise(weights);
    if (callerSpread === "unknown") {
        return shares;
    }
    return planLocalShares(shares, [...new Set([...weights.keys(), localZone])], localZone);
};
