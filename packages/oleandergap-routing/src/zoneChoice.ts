/**
 * Chooses the zone of the next request by the planned shares, reduced by what unreachable or overloaded zones cannot
 * serve.
 */
import type { Milliseconds, ZoneName } from "oleandergap-types";
import type { RoutableTarget } from "./target.js";
import { isZoneUsable, type ZoneState } from "./zoneState.js";

interface ChoiceContext {
    readonly now: Milliseconds;
    readonly canResend: boolean;
    readonly avoidZone: ZoneName | undefined;
}

const assignShares = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
    isUsable: (zone: ZoneState<Target>) => boolean,
): number => {
    let displacedShare = 0;
    let receivingWeight = 0;
    for (const zone of zones) {
        const usableShare = isUsable(zone) ? 1 - zone.spill : 0;
        zone.effectiveShare = zone.share * usableShare;
        displacedShare += zone.share * (1 - usableShare);
        receivingWeight += zone.weight * usableShare;
    }
    if (displacedShare === 0 || receivingWeight === 0) {
        return 1 - displacedShare;
    }
    for (const zone of zones) {
        const usableShare = isUsable(zone) ? 1 - zone.spill : 0;
        zone.effectiveShare += (displacedShare * zone.weight * usableShare) / receivingWeight;
    }
    return 1;
};

/**
 * Selects a zone by smooth weighted round robin: after any number of picks, each zone has received its exact share,
 * within a few requests. A random choice would follow the weights only on average, which is visible for a service with
 * few requests.
 */
const selectByRoundRobin = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
    totalShare: number,
): ZoneState<Target> | undefined => {
    let chosen: ZoneState<Target> | undefined;
    for (const zone of zones) {
        if (zone.effectiveShare === 0) {
            zone.credit = 0;
            continue;
        }
        zone.credit += zone.effectiveShare;
        if (chosen === undefined || zone.credit > chosen.credit) {
            chosen = zone;
        }
    }
    if (chosen !== undefined) {
        chosen.credit -= totalShare;
    }
    return chosen;
};

/**
 * Chooses the zone of the next request.
 *
 * @param zones The zones that have a weight and targets.
 */
export const chooseZone = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
    { now, canResend, avoidZone }: ChoiceContext,
): ZoneState<Target> | undefined => {
    const [onlyZone] = zones;
    if (zones.length <= 1 || onlyZone === undefined) {
        return onlyZone;
    }
    const isReachable = (zone: ZoneState<Target>): boolean => isZoneUsable(zone, now, canResend);
    const totalShare = assignShares(zones, (zone) => zone.zone !== avoidZone && isReachable(zone));
    if (totalShare > 0) {
        return selectByRoundRobin(zones, totalShare);
    }
    // If no zone seems usable, the fault may be on this node. Refusing all requests would make the outage certain.
    const reachableTotal = assignShares(zones, isReachable);
    return selectByRoundRobin(zones, reachableTotal > 0 ? reachableTotal : assignShares(zones, () => true));
};
