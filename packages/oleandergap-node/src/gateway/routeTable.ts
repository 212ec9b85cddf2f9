/** Finds the route of a request: of its host, the one whose prefix is the longest that begins the path. */
import type { PartnerTable, Route, ServiceName, TableView } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** A route and the table that holds it. */
export interface FoundRoute {
    readonly route: Route;
    readonly table: PartnerTable;
}

/** Routes by host, longest prefix first. */
type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Tables are immutable, so an index never goes stale. */
const knownIndexes = new WeakMap<PartnerTable, RouteIndex>();

const buildIndex = ({ routes }: PartnerTable): RouteIndex => {
    const index = new Map<string, Route[]>();
    for (const route of routes.values()) {
        const ofHost = index.get(route.host) ?? [];
        ofHost.push(route);
        index.set(route.host, ofHost);
    }
    for (const ofHost of index.values()) {
        ofHost.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    return index;
};

const indexOf = (table: PartnerTable): RouteIndex => {
    const known = knownIndexes.get(table);
    if (known !== undefined) {
        return known;
    }
    const index = buildIndex(table);
    knownIndexes.set(table, index);
    return index;
};

const PORT_PATTERN = /:\d{1,5}$/;

/** The name in a Host header, in lower case and without its port. */
export const readHostName = (host: string): string => host.toLowerCase().replace(PORT_PATTERN, "");

/**
 * The route of a request, by the longest prefix over all partners' tables; undefined when there is none.
 *
 * @param path path and query
 */
export const findRoute = (view: TableView, host: string, path: string): FoundRoute | undefined => {
    const name = readHostName(host);
    let found: FoundRoute | undefined;
    for (const table of view.values()) {
        const route = indexOf(table).get(name)?.find(({ prefix }) => path.startsWith(prefix));
        if (route !== undefined && route.prefix.length > (found?.route.prefix.length ?? 0)) {
            found = { route, table };
        }
    }
    return found;
};

/** Chooses the service of each request of a route. */
export type ChooseService = (route: Route) => ServiceName;

/** Rotations that are remembered; the oldest gives way, so that ever new versions of routes do not fill the memory. */
const MAX_ROTATIONS = 4096;

/** Credits of a route's services, in the order of its shares. */
type Rotation = number[];

const describeShares = ({ name, shares }: Route): string =>
    `${name} ${shares.map(({ service, weight }) => `${service}=${weight}`).join(",")}`;

/** Each service earns its weight; the richest one serves and pays for all. */
const advance = ({ shares }: Route, rotation: Rotation): number => {
    let richest = 0;
    let total = 0;
    shares.forEach(({ weight }, index) => {
        total += weight;
        rotation[index] = (rotation[index] ?? 0) + weight;
        if ((rotation[index] ?? 0) > (rotation[richest] ?? 0)) {
            richest = index;
        }
    });
    rotation[richest] = (rotation[richest] ?? 0) - total;
    return richest;
};

/**
 * Smooth weighted rotation: after any number of requests each service of a split has had its exact share, give or take
 * one. It starts at a random place, or all nodes would send their first requests to the same service. A version that
 * leaves the split as it is leaves the rotation as well.
 */
export const createServiceChooser = (random: Random): ChooseService => {
    const rotations = new Map<string, Rotation>();

    const startRotation = (route: Route): Rotation => {
        const rotation = route.shares.map(() => 0);
        const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
        const steps = Math.floor(random() * Math.min(total, MAX_ROTATIONS));
        for (let step = 0; step < steps; step++) {
            advance(route, rotation);
        }
        return rotation;
    };

    const rotationOf = (route: Route): Rotation => {
        const key = describeShares(route);
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
        const [only] = route.shares;
        if (only === undefined) {
            throw new Error(`the route ${route.name} has no service`);
        }
        const chosen = route.shares.length === 1 ? only : route.shares[advance(route, rotationOf(route))];
        return (chosen ?? only).service;
    };
};
