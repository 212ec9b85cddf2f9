/**
 * Measures the distribution on the in-memory fleet and compares it with a reference model in which every node polls the
 * platform. Run it with `node packages/oleandergap-distribution/lib/__tests__/measureSpread.js [nodes...]`. It prints
 * one line of JSON per fleet size. Times are measured with the manual clock and apply only to the delays of the
 * in-memory network.
 */
import { MILLISECONDS_PER_SECOND } from "oleandergap-types";
import { createSeededRandom, pickOne } from "oleandergap-utils";
import { createInMemoryFleet, PARTNERS, type InMemoryFleet } from "./inMemoryFleet.js";
import { healthyNetwork } from "./inMemoryNetwork.js";
import { startPollingNode } from "./pollingNode.js";
import { WEIGHT_CELL, type RecordingStore } from "./recordingStore.js";

const ZONES = 7;
const CHANGES = 40;
const CHANGE_INTERVAL_MS = 3_000;
const IDLE_MS = 30_000;
const POLL_INTERVAL_MS = 500;

interface Measurements {
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
    readonly missed: number;
    readonly readsPerSecondAtRest: number;
    readonly readsPerChange: number;
    /** Bytes of the distribution only, without the datagrams of the membership and the responses of the platform. */
    readonly bytesPerNodeAndSecondAtRest: number;
    readonly bytesPerNodeAndChange: number;
}

const round = (value: number): number => Math.round(value * 10) / 10;
const percentile = (sorted: readonly number[], share: number): number =>
    round(sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN);
const sumBytes = (fleet: InMemoryFleet): number => [...fleet.network.bytes.values()].reduce((sum, one) => sum + one, 0);

/** Runs `change` repeatedly and measures when each store applies the changes. */
const measure = async (
    fleet: InMemoryFleet,
    stores: readonly RecordingStore[],
    change: (round: number) => { readonly partner: string; readonly sequence: number },
): Promise<Measurements> => {
    const { clock, platform } = fleet;
    const applied: { readonly version: string; readonly at: number }[] = [];
    const acceptedAt = new Map<string, number>();
    for (const store of stores) {
        store.subscribe(({ partner, sequence }) => {
            applied.push({ version: `${partner}/${sequence}`, at: clock.monotonic() });
        });
    }
    const [idleStartReads, idleStartBytes] = [platform.readTimes.length, sumBytes(fleet)];
    await clock.advance(IDLE_MS);
    const [reads, bytes] = [platform.readTimes.length, sumBytes(fleet)];
    for (let index = 0; index < CHANGES; index++) {
        const at = clock.monotonic();
        const { partner, sequence } = change(index);
        acceptedAt.set(`${partner}/${sequence}`, at);
        await clock.advance(CHANGE_INTERVAL_MS);
    }
    const idleFactor = CHANGES * CHANGE_INTERVAL_MS / IDLE_MS;
    const changeBytes = sumBytes(fleet) - bytes - (bytes - idleStartBytes) * idleFactor;
    const sorted = applied
        .flatMap(({ version, at }) => acceptedAt.has(version) ? [at - (acceptedAt.get(version) ?? at)] : [])
        .sort((left, right) => left - right);
    return {
        p50Ms: percentile(sorted, 0.5),
        p99Ms: percentile(sorted, 0.99),
        maxMs: percentile(sorted, 1),
        missed: stores.length * CHANGES - sorted.length,
        readsPerSecondAtRest: round((reads - idleStartReads) / (IDLE_MS / MILLISECONDS_PER_SECOND)),
        readsPerChange: round((platform.readTimes.length - reads - (reads - idleStartReads) * idleFactor) / CHANGES),
        bytesPerNodeAndSecondAtRest:
            round((bytes - idleStartBytes) / stores.length / (IDLE_MS / MILLISECONDS_PER_SECOND)),
        bytesPerNodeAndChange: round(changeBytes / stores.length / CHANGES),
    };
};

const measureDistribution = async (nodes: number, lossShare: number, deadShare: number): Promise<Measurements> => {
    const plan = { zones: ZONES, nodesPerZone: 0, nodes, seed: nodes, detectionMs: 600_000 };
    const fleet = createInMemoryFleet(plan);
    const random = createSeededRandom(nodes);
    await fleet.startAll();
    await fleet.clock.advance(5_000);
    fleet.network.setFaults({ ...healthyNetwork, lossShare });
    fleet.nodes.filter(() => random() < deadShare).forEach(fleet.kill);
    const running = fleet.nodes.filter((node) => node.isUp);
    const measurements = await measure(fleet, running.map((node) => node.store), (index) => {
        const node = pickOne(random, running) ?? fleet.node(0);
        return fleet.acceptAt(node, PARTNERS[index % PARTNERS.length] ?? "", { [WEIGHT_CELL]: index });
    });
    fleet.stop();
    return measurements;
};

const measurePolling = async (nodes: number): Promise<Measurements> => {
    const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 0, seed: nodes });
    const random = createSeededRandom(nodes);
    const abortController = new AbortController();
    const source = fleet.platform.createSource(() => true);
    const stores = Array.from({ length: nodes }, () => startPollingNode({
        partners: PARTNERS,
        source,
        clock: fleet.clock,
        random,
        intervalMs: POLL_INTERVAL_MS,
        signal: abortController.signal,
    }));
    await fleet.clock.advance(5_000);
    const measurements = await measure(fleet, stores, (index) =>
        fleet.platform.accept(PARTNERS[index % PARTNERS.length] ?? "", { [WEIGHT_CELL]: index }));
    abortController.abort();
    return measurements;
};

const sizes = process.argv.slice(2).map(Number);
for (const nodes of sizes.length === 0 ? [22, 60, 120] : sizes) {
    console.log(JSON.stringify({
        experiment: "spread",
        nodes,
        zones: ZONES,
        ours: await measureDistribution(nodes, 0, 0),
        oursLoss5Percent: await measureDistribution(nodes, 0.05, 0),
        oursDead10Percent: await measureDistribution(nodes, 0, 0.1),
        naive: await measurePolling(nodes),
    }));
}
