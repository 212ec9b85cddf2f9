/**
 * Looks up the targets of a service for the router. Returns the same array as long as nothing has changed.
 *
 * The targets of a service in other zones are requested only once a caller uses the service. If all targets of a
 * service are in other zones, its first requests would therefore be refused with `NoTarget`, and callers would see a
 * short burst of such refusals after each restart of a node. Instead, these requests wait for the first response from
 * the other zones. The maximum wait starts with the first request, so a service that has no target is refused
 * immediately afterwards.
 */
import type { TargetDirectory, TargetMember } from "oleandergap-membership";
import {
    formatServiceReference,
    type Clock,
    type Milliseconds,
    type PartnerTable,
    type ServiceReference,
    type ServiceRow,
    type ZoneName,
} from "oleandergap-types";

export interface TargetLookupDependencies {
    readonly clock: Clock;
    readonly directory: Pick<TargetDirectory, "targetsOf">;
    /** Maximum wait for the first response from other zones, counted from the first request for a service. */
    readonly firstLookupMs: Milliseconds;
}

export interface TargetQuery {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    /** Table that contains the row. */
    readonly table: PartnerTable;
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
}

export type FindTargets = (query: TargetQuery) => readonly TargetMember[] | Promise<readonly TargetMember[]>;

interface ServiceLookup {
    readonly firstRequestedAt: Milliseconds;
    targets: readonly TargetMember[];
}

/** Interval between lookups while the first response is pending. */
const LOOKUP_INTERVAL_MS = 25;

const hasSameTargets = (left: readonly TargetMember[], right: readonly TargetMember[]): boolean =>
    left === right || (left.length === right.length && left.every((target, index) => target === right[index]));

/**
 * Returns the zones that a row sends requests to: those with a positive weight, or all zones of the table if placement
 * is by load.
 */
export const listServingZones = (table: PartnerTable, row: ServiceRow): readonly ZoneName[] =>
    row.placement === "load" ?
        [...table.zones] :
        [...row.weights].filter(([, weight]) => weight > 0).map(([zone]) => zone);

export const createTargetLookup = ({ clock, directory, firstLookupMs }: TargetLookupDependencies): FindTargets => {
    const services = new Map<string, ServiceLookup>();
    const zonesByRow = new WeakMap<ServiceRow, readonly ZoneName[]>();

    const getServingZones = (table: PartnerTable, row: ServiceRow): readonly ZoneName[] => {
        let zones = zonesByRow.get(row);
        if (zones === undefined) {
            zones = listServingZones(table, row);
            zonesByRow.set(row, zones);
        }
        return zones;
    };

    const getLookup = (service: ServiceReference): ServiceLookup => {
        const key = formatServiceReference(service);
        let lookup = services.get(key);
        if (lookup === undefined) {
            lookup = { firstRequestedAt: clock.monotonic(), targets: [] };
            services.set(key, lookup);
        }
        return lookup;
    };

    const findCurrentTargets = (
        { service, row, table }: TargetQuery,
        lookup: ServiceLookup,
    ): readonly TargetMember[] => {
        const targets = directory.targetsOf(service, getServingZones(table, row));
        if (!hasSameTargets(targets, lookup.targets)) {
            lookup.targets = targets;
        }
        return lookup.targets;
    };

    const waitForFirstTargets = async (
        query: TargetQuery,
        lookup: ServiceLookup,
        until: Milliseconds,
    ): Promise<readonly TargetMember[]> => {
        while (lookup.targets.length === 0 && clock.monotonic() < until && !query.signal.aborted) {
            await clock.sleep(LOOKUP_INTERVAL_MS, query.signal);
            findCurrentTargets(query, lookup);
        }
        return lookup.targets;
    };

    return (query) => {
        const lookup = getLookup(query.service);
        const targets = findCurrentTargets(query, lookup);
        const until = Math.min(lookup.firstRequestedAt + firstLookupMs, query.deadline);
        return targets.length > 0 || clock.monotonic() >= until ? targets : waitForFirstTargets(query, lookup, until);
    };
};
