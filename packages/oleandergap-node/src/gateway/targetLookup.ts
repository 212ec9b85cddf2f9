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

interface KnownService {
    readonly firstAskedAt: Milliseconds;
    targets: readonly TargetMember[];
}

/** Interval between lookups while the first response is pending. */
const LOOK_INTERVAL_MS = 25;

const isSameList = (left: readonly TargetMember[], right: readonly TargetMember[]): boolean =>
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
    const services = new Map<string, KnownService>();
    const zonesOfRows = new WeakMap<ServiceRow, readonly ZoneName[]>();

    const zonesOf = (table: PartnerTable, row: ServiceRow): readonly ZoneName[] => {
        let zones = zonesOfRows.get(row);
        if (zones === undefined) {
            zones = listServingZones(table, row);
            zonesOfRows.set(row, zones);
        }
        return zones;
    };

    const knownOf = (service: ServiceReference): KnownService => {
        const key = formatServiceReference(service);
        let known = services.get(key);
        if (known === undefined) {
            known = { firstAskedAt: clock.monotonic(), targets: [] };
            services.set(key, known);
        }
        return known;
    };

    const look = ({ service, row, table }: TargetQuery, known: KnownService): readonly TargetMember[] => {
        const targets = directory.targetsOf(service, zonesOf(table, row));
        if (!isSameList(targets, known.targets)) {
            known.targets = targets;
        }
        return known.targets;
    };

    const waitForFirst = async (
        query: TargetQuery,
        known: KnownService,
        until: Milliseconds,
    ): Promise<readonly TargetMember[]> => {
        while (known.targets.length === 0 && clock.monotonic() < until && !query.signal.aborted) {
            await clock.sleep(LOOK_INTERVAL_MS, query.signal);
            look(query, known);
        }
        return known.targets;
    };

    return (query) => {
        const known = knownOf(query.service);
        const targets = look(query, known);
        const until = Math.min(known.firstAskedAt + firstLookupMs, query.deadline);
        return targets.length > 0 || clock.monotonic() >= until ? targets : waitForFirst(query, known, until);
    };
};
