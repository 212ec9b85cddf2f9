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
    let lost = 0;
    let takers = 0;
    for (const zone of zones) {
        const part = isUsable(zone) ? 1 - zone.spill : 0;
        zone.effectiveShare = zone.share * part;
        lost += zone.share * (1 - part);
        takers += zone.weight * part;
    }
    if (lost === 0 || takers === 0) {
        return 1 - lost;
    }
    for (const zone of zones) {
        const part = isUsable(zone) ? 1 - zone.spill : 0;
        zone.effectiveShare += (lost * zone.weight * part) / takers;
    }
    return 1;
};

/**
 * Selects a zone by smooth weighted round robin: after any number of picks, each zone has received its exact share,
 * within a few requests. A random choice would follow the weights only on average, which is visible for a service with
 * few requests.
 */
const rotate = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
    total: number,
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
        chosen.credit -= total;
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
    const total = assignShares(zones, (zone) => zone.zone !== avoidZone && isReachable(zone));
    if (total > 0) {
        return rotate(zones, total);
    }
    // If no zone seems usable, the fault may be on this node. Refusing all requests would make the outage certain.
    const reachableTotal = assignShares(zones, isReachable);
    return rotate(zones, reachableTotal > 0 ? reachableTotal : assignShares(zones, () => true));
};
