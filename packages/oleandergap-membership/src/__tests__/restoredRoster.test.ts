import { expect } from "chai";
import type { ObjectStore } from "oleandergap-types";
import { createRosterStore, type RosterStore } from "./rosterStore.js";
import { createSeed, createTestCluster, type TestCluster, type TestNode } from "./testCluster.js";

type RosterCopy = ReadonlyMap<string, Uint8Array>;

/** Store that can be restored from copies and that tracks the latest era seen by each node. */
interface RestoredStore {
    readonly roster: RosterStore;
    /**
     * Opens the store for one node. `hasSeenEra` returns whether the node has seen the current era in the response to
     * another call.
     */
    readonly openForNode: (now: () => number, hasSeenEra: () => boolean) => ObjectStore;
    /** Returns the times of the calls since the last restore. */
    readonly callTimes: () => readonly number[];
    readonly restore: (copy: RosterCopy) => void;
}

const createRestoredStore = (): RestoredStore => {
    const roster = createRosterStore();
    let era = 1;
    let callTimes: number[] = [];
    const openForNode: RestoredStore["openForNode"] = (now, hasSeenEra) => {
        let seen = era;
        const recordCall = (): void => {
            seen = era;
            callTimes.push(now());
        };
        return {
            get: (key, signal) => {
                recordCall();
                return roster.store.get(key, signal);
            },
            put: (key, body, signal) => {
                recordCall();
                return roster.store.put(key, body, signal);
            },
            list: roster.store.list,
            era: () => {
                seen = hasSeenEra() ? era : seen;
                return seen;
            },
        };
    };
    return {
        roster,
        openForNode,
        callTimes: () => callTimes,
        restore: (copy) => {
            roster.objects.clear();
            copy.forEach((body, key) => roster.objects.set(key, body));
            era += 1;
            callTimes = [];
        },
    };
};

const countMaxWithin = (times: readonly number[], spanMs: number): number =>
    Math.max(0, ...times.map((start) => times.filter((time) => time >= start && time < start + spanMs).length));

describe("createRosterManager after a restore of the store", () => {
    const ZONES = 3;
    const READERS_PER_ZONE = 4;
    /** Longest time after which a node that reads from the store sees the new era in a response. */
    const FEED_INTERVAL_MS = 1000;

    interface RosterFleet {
        readonly cluster: TestCluster;
        readonly store: RestoredStore;
        readonly restore: (copy: RosterCopy) => void;
    }

    const startFleet = async (size: number, zoneCount = ZONES): Promise<RosterFleet> => {
        const zones = Array.from({ length: zoneCount }, (_, index) => `zone-${String(index)}`);
        const cluster = createTestCluster(11);
        const store = createRestoredStore();
        let restoredAt = Number.POSITIVE_INFINITY;
        const start = (index: number): TestNode => {
            const zone = zones[index % zoneCount] ?? "";
            const rank = Math.floor(index / zoneCount);
            const seenAfterMs = FEED_INTERVAL_MS * (rank + 1) / READERS_PER_ZONE;
            const hasSeenEra = (): boolean =>
                rank < READERS_PER_ZONE && cluster.clock.monotonic() >= restoredAt + seenAfterMs;
            return cluster.startNode(index, {
                zone,
                seeds: zones.map((name, first) => createSeed(first, name)),
                objectStore: store.openForNode(() => cluster.clock.monotonic(), hasSeenEra),
                options: { rosterPeriodMs: 1000 },
            });
        };
        Array.from({ length: size }, (_, index) => start(index));
        await cluster.clock.advance(20_000);
        const restore = (copy: RosterCopy): void => {
            store.restore(copy);
            restoredAt = cluster.clock.monotonic();
        };
        return { cluster, store, restore };
    };

    for (const [size, zoneCount] of [[60, 3], [195, 13]] as const) {
        it(`rewrites the rosters of ${size} nodes within two seconds by few calls spread over time`, async () => {
            const { cluster, store, restore } = await startFleet(size, zoneCount);
            const completeObjects = new Map(store.roster.objects);
            expect(completeObjects.size).to.equal(zoneCount);
            restore(new Map());
            await cluster.clock.advance(2000);
            expect(store.roster.objects).to.deep.equal(completeObjects);
            expect(store.callTimes().length).to.be.at.most(2 * READERS_PER_ZONE * zoneCount);
            expect(countMaxWithin(store.callTimes(), 100)).to.be.at.most(READERS_PER_ZONE * zoneCount);
        });
    }

    it("lets a node that is not a regular writer write the roster, also after a second restore", async () => {
        const { cluster, store, restore } = await startFleet(60);
        const completeObjects = new Map(store.roster.objects);
        restore(new Map());
        await cluster.clock.advance(300);
        restore(new Map());
        await cluster.clock.advance(2000);
        expect(store.roster.objects).to.deep.equal(completeObjects);
    });

    it("retries if the store is unavailable after the restore", async () => {
        const { cluster, store, restore } = await startFleet(12);
        const completeObjects = new Map(store.roster.objects);
        restore(new Map());
        store.roster.isDown = true;
        await cluster.clock.advance(1500);
        store.roster.isDown = false;
        store.roster.objects.clear();
        await cluster.clock.advance(2000);
        expect(store.roster.objects).to.deep.equal(completeObjects);
    });

    it("does not write if the copy contains the complete roster", async () => {
        const { cluster, store, restore } = await startFleet(12);
        const writes = store.roster.counts.writes;
        restore(new Map(store.roster.objects));
        await cluster.clock.advance(2000);
        expect(store.roster.counts.writes).to.equal(writes);
    });
});
