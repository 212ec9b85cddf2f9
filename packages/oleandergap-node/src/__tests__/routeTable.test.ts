import { expect } from "chai";
import fastCheck from "fast-check";
import type { PartnerTable, Route, TableView } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import { createServiceChooser, findRoute } from "../gateway/routeTable.js";

const createRoute = (name: string, host: string, prefix: string, shares: Route["shares"] = []): Route => ({
    name, host, prefix, kind: "safe", maxAttempts: 1, timeoutMs: 1000, targetLatencyMs: 100, priority: 0, shares,
});

const createView = (routes: readonly Route[]): TableView => {
    const table: PartnerTable = {
        head: { partner: "halloway", sequence: 1, digest: "0".repeat(64) },
        services: new Map(),
        zones: new Set(),
        routes: new Map(routes.map((route) => [route.name, route])),
    };
    return new Map([["halloway", table]]);
};

const segment = fastCheck.constantFrom("a", "b", "ab", "c");
const prefixArbitrary = fastCheck.array(segment, { maxLength: 3 }).map((parts) => ["", ...parts, ""].join("/"));
const hostArbitrary = fastCheck.constantFrom("one.example", "two.example");

/** Reference implementation: scans all routes. */
const findLinearly = (routes: readonly Route[], host: string, path: string): string | undefined => {
    let best: Route | undefined;
    for (const route of routes) {
        const matches = route.host === host && path.slice(0, route.prefix.length) === route.prefix;
        if (matches && (best === undefined || route.prefix.length > best.prefix.length)) {
            best = route;
        }
    }
    return best?.name;
};

describe("findRoute", () => {
    it("finds the same route as a linear search", () => {
        const routesArbitrary = fastCheck.uniqueArray(
            fastCheck.record({ host: hostArbitrary, prefix: prefixArbitrary }),
            { selector: ({ host, prefix }) => `${host} ${prefix}`, maxLength: 12 },
        );
        fastCheck.assert(fastCheck.property(
            routesArbitrary, hostArbitrary, prefixArbitrary, segment,
            (found, host, prefix, last) => {
                const routes = found.map((route, index) => createRoute(`r${index}`, route.host, route.prefix));
                const path = `${prefix}${last}`;
                expect(findRoute(createView(routes), host, path)?.route.name)
                    .to.equal(findLinearly(routes, host, path));
            },
        ), { numRuns: 500 });
    });

    it("ignores the case and the port of a host, and matches prefixes literally", () => {
        const view = createView([createRoute("r", "one.example", "/a/")]);
        expect(findRoute(view, "ONE.example:8080", "/a/x?y=1")?.route.name).to.equal("r");
        expect(findRoute(view, "one.example", "/a")).to.equal(undefined);
        expect(findRoute(view, "one.example", "/A/x")).to.equal(undefined);
        expect(findRoute(view, "other.example", "/a/x")).to.equal(undefined);
    });
});

describe("createServiceChooser", () => {
    it("selects each service as often as its weight in one rotation, from any starting position", () => {
        const weight = fastCheck.integer({ min: 1, max: 100 });
        const weightsArbitrary = fastCheck.array(weight, { minLength: 1, maxLength: 4 });
        fastCheck.assert(fastCheck.property(weightsArbitrary, fastCheck.integer(), (weights, seed) => {
            const shares = weights.map((value, index) => ({ service: `s${index}`, weight: value }));
            const route = createRoute("r", "one.example", "/", shares);
            const choose = createServiceChooser(createSeededRandom(seed));
            const total = weights.reduce((sum, value) => sum + value, 0);
            const counts = new Map<string, number>();
            for (let request = 0; request < total; request++) {
                const service = choose(route);
                counts.set(service, (counts.get(service) ?? 0) + 1);
            }
            for (const share of shares) {
                expect(counts.get(share.service)).to.equal(share.weight);
            }
        }), { numRuns: 100 });
    });

    it("continues a rotation when a new version has the same split", () => {
        const shares = [{ service: "a", weight: 1 }, { service: "b", weight: 1 }];
        const choose = createServiceChooser(() => 0);
        const chosen = [1, 2, 3, 4].map(() => choose(createRoute("r", "one.example", "/", shares)));
        expect(chosen).to.deep.equal(["a", "b", "a", "b"]);
    });
});
