/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix that matches the path.
 */
import type { PartnerTable, Route, ServiceName, TableView } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** A route and the table that contains it. */
export interface FoundRoute {
    readonly route: Route;
    readonly table: PartnerTable;
}

/** Routes by host, longest prefix first. */
type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Indexes by table. Tables are immutable, so an index never becomes outdated. */
const cachedIndexes = new WeakMap<PartnerTable, RouteIndex>();

const buildIndex = ({ routes }: PartnerTable): RouteIndex => {
    const index = new Map<string, Route[]>();
    for (const route of routes.values()) {
        const hostRoutes = index.get(route.host) ?? [];
        hostRoutes.push(route);
        index.set(route.host, hostRoutes);
    }
    for (const hostRoutes of index.values()) {
        hostRoutes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    return index;
};

const getIndex = (table: PartnerTable): RouteIndex => {
    const cachedIndex = cachedIndexes.get(table);
    if (cachedIndex !== undefined) {
        return cachedIndex;
    }
    const index = buildIndex(table);
    cachedIndexes.set(table, index);
    return index;
};

const PORT_PATTERN = /:\d{1,5}$/;

/** Returns the host name of a Host header, in lower case and without the port. */
export const readHostName = (host: string): string => host.toLowerCase().replace(PORT_PATTERN, "");

/**
 * Returns the route of a request, by the longest prefix over the tables of all partners; undefined when none matches.
 *
 * @param path path and query
 */
export const findRoute = (view: TableView, host: string, path: string): FoundRoute | undefined => {
    const name = readHostName(host);
    let found: FoundRoute | undefined;
    for (const table of view.values()) {
        const route = getIndex(table).get(name)?.find(({ prefix }) => path.startsWith(prefix));
        if (route !== undefined && route.prefix.length > (found?.route.prefix.length ?? 0)) {
            found = { route, table };
        }
    }
    return found;
};

/** Selects the service for one request of a route. */
export type ChooseService = (route: Route) => ServiceName;

/**
 * Maximum number of stored rotations. The oldest one is evicted, so that new versions of routes do not exhaust memory.
 */
const MAX_ROTATIONS = 4096;

/** Current weights of a route's services, in the order of its shares. */
type Rotation = number[];

const formatShares = ({ name, shares }: Route): string =>
    `${name} ${shares.map(({ service, weight }) => `${service}=${weight}`).join(",")}`;

/**
 * Performs one selection by smooth weighted round-robin: increases the current weight of each service by its configured
 * weight, selects the service with the highest current weight, and subtracts the total weight from it. Returns the
 * index of the selected service.
 */
const selectNextIndex = ({ shares }: Route, rotation: Rotation): number => {
    let selectedIndex = 0;
    let total = 0;
    shares.forEach(({ weight }, index) => {
        total += weight;
        rotation[index] = (rotation[index] ?? 0) + weight;
        if ((rotation[index] ?? 0) > (rotation[selectedIndex] ?? 0)) {
            selectedIndex = index;
        }
    });
    rotation[selectedIndex] = (rotation[selectedIndex] ?? 0) - total;
    return selectedIndex;
};

/**
 * Creates a service selector that uses smooth weighted round-robin: after any number of requests, each service of a
 * split has received its exact share, plus or minus one. The rotation starts at a random position, because otherwise
 * all nodes would send their first requests to the same service. A new table version with the same split continues the
 * rotation.
 */
export const createServiceChooser = (random: Random): ChooseService => {
    const rotations = new Map<string, Rotation>();

    const startRotation = (route: Route): Rotation => {
        const rotation = route.shares.map(() => 0);
        const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
        const steps = Math.floor(random() * Math.min(total, MAX_ROTATIONS));
        for (let step = 0; step < steps; step++) {
            selectNextIndex(route, rotation);
        }
        return rotation;
    };

    const getRotation = (route: Route): Rotation => {
        const key = formatShares(route);
        let rotation = rotations.get(key);
        if (rotation === undefined) {
            rotation = startRotation(route);
            const [oldest] = rotations.keys();
            if (rotations.size >= MAX_ROTATIONS && oldest !== undefined) {
                rotations.delete(oldest);
            }
            rotations.set(key, rotation);
        }
        return rotation;
    };

    return (route) => {
        const [firstShare] = route.shares;
        if (firstShare === undefined) {
            throw new Error(`the route ${route.name} has no service`);
        }
        const selectedShare = route.shares.length === 1 ?
            firstShare :
            route.shares[selectNextIndex(route, getRotation(route))];
        return (selectedShare ?? firstShare).service;
    };
};
