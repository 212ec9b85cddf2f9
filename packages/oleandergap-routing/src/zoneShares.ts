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
const shareLocally = (shares: ZoneShares, zones: readonly ZoneName[], ownZone: ZoneName): ZoneShares => {
    const received = 1 / zones.length;
    const kept = Math.min(1, (shares.get(ownZone) ?? 0) / received);
    const missing = new Map<ZoneName, number>();
    for (const [zone, share] of shares) {
        missing.set(zone, Math.max(0, share - received));
    }
    const local = new Map<ZoneName, number>();
    for (const [zone, share] of normalise(missing)) {
        local.set(zone, share * (1 - kept));
    }
    if (kept > 0) {
        local.set(ownZone, (local.get(ownZone) ?? 0) + kept);
    }
    return local;
};

/**
 * Returns the share of each zone in the requests of a node in `ownZone`. Over the whole fleet, the shares match the
 * weights of the table; a zone of weight 0 gets none.
 */
export const planZoneShares = (
    weights: ReadonlyMap<ZoneName, number>,
    ownZone: ZoneName,
    callerSpread: CallerSpread,
): ZoneShares => {
    const shares = normalise(weights);
    if (callerSpread === "unknown") {
        return shares;
    }
    return shareLocally(shares, [...new Set([...weights.keys(), ownZone])], ownZone);
};
