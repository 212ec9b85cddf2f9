/** Assigns targets to availability zones and VMs. */
import type { ZoneName } from "oleandergap-types";
import { formatVmAddress, type TargetPlan, type VmPlan } from "./fleetPlan.js";

/** A target and its availability zone. */
export interface PlacedTarget {
    readonly zone: ZoneName;
    readonly target: TargetPlan;
}

/** Creates one VM per target, numbered within its zone. The order of the zones determines the addresses. */
export const placeOnVms = (zones: readonly ZoneName[], placed: readonly PlacedTarget[]): readonly VmPlan[] => {
    const vmCounts = new Map<ZoneName, number>();
    return placed.map(({ zone, target }) => {
        const host = (vmCounts.get(zone) ?? 0) + 1;
        vmCounts.set(zone, host);
        return {
            id: `${zone}-${host}`,
            zone,
            address: formatVmAddress(zones.indexOf(zone) + 1, host),
            target,
        };
    });
};

/** Distributes `count` copies of a target over `zones` in turn, starting with the zone at index `firstZone`. */
export const distributeOverZones = (
    target: TargetPlan,
    count: number,
    zones: readonly ZoneName[],
    firstZone = 0,
): readonly PlacedTarget[] =>
    Array.from({ length: count }, (_, index) => ({ zone: zones[(firstZone + index) % zones.length] ?? "", target }));
