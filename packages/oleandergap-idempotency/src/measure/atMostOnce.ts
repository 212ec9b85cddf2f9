/**
 * Measures at-most-once execution under failures, for the claims of this package and for a version without
 * claims, with a table in memory and a manual clock: the number of runs per key while processes are killed and
 * responses are lost, and the share of requests that are accepted while the platform is down.
 */
import { setMaxListeners } from "node:events";
import type { Logger } from "oleandergap-logger";
import { createManualClock, createSeededRandom, pickIndex, type ManualClock, type Random } from "oleandergap-utils";
import { createClaimManager } from "../claim/claimManager.js";
import { claimOptionsSchema, ownershipOptionsSchema } from "../options.js";
import { createOutcomeChooser, type PlatformMode } from "./platformMode.js";
import { createMemoryTable, type MemoryTable } from "./memoryTable.js";
import { generateKey } from "./generateKey.js";
import { createOwnedNode } from "./ownedNode.js";
import { createClaimingNode, createNodeWithoutClaims, type SimulatedNode } from "./simulatedNode.js";
import { createSimulatedTarget, type FailureProbabilities, type SimulatedTarget, type CallerResult } from "./simulatedTarget.js";

export const claimVersions = ["naive", "durable", "owned"] as const;
export type ClaimVersion = (typeof claimVersions)[number];

export interface RunsFigures {
    /** Number of keys that were sent. */
    readonly keys: number;
    readonly maxRunsPerKey: number;
    readonly keysRunTwiceOrMore: number;
    readonly shareOfKeysRun: number;
    /** Number of results with the verdict `notRun` although the request had been sent. */
    readonly falseNotRun: number;
}

export interface OutageFigures {
    readonly outageMs: number;
    readonly leaseMs: number;
    readonly requests: number;
    readonly acceptedShare: number;
}

const NODES = 3;
const KEYS = 300;
const SENDS_PER_KEY = 3;
/** Timeout of a request, in milliseconds. */
const TIMEOUT = 500;
/** Longest time between two sends, in milliseconds. */
const MAX_PAUSE = 200;
/** Probability that a node is killed after a send. */
const KILL_PROBABILITY = 0.02;
/** Time for the nodes to take their partitions before the first key, and to finish after the last, in milliseconds. */
const SETTLE_TIME = 120_000;
const FAILURES: FailureProbabilities = { answerLost: 0.1, connectFailed: 0.1 };
const NO_FAILURES: FailureProbabilities = { answerLost: 0, connectFailed: 0 };
const SECOND = 1000;

const doNothing = (): void => undefined;
const silentLogger: Logger = { debug: doNothing, info: doNothing, warn: doNothing, error: doNothing };

interface Fleet {
    readonly clock: ManualClock;
    readonly random: Random;
    readonly table: MemoryTable;
    readonly target: SimulatedTarget;
    readonly nodes: SimulatedNode[];
    readonly results: CallerResult[];
    platformMode: PlatformMode;
    /** Kills the process of a node and starts a new one. */
    readonly restart: (index: number) => void;
    /** Sends the key to the nodes in turn, starting with `index`, until one does not refuse it. */
    readonly send: (index: number, key: string) => Promise<void>;
    readonly stop: () => void;
}

const createFleet = (
    version: ClaimVersion,
    seed: number,
    failureProbabilities: FailureProbabilities,
    leaseMs: number,
): Fleet => {
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const table = createMemoryTable(clock);
    const target = createSimulatedTarget(random, failureProbabilities);
    const members = Array.from({ length: NODES }, (_, index) => `node-${index}`);
    const claimOptions = claimOptionsSchema.parse({});
    const ownershipOptions = ownershipOptionsSchema.parse({ enabled: true, partitions: 8, leaseMs });
    let startCount = 0;

    const start = (index: number): SimulatedNode => {
        const shared = {
            clock,
            random,
            target,
            signal: controller.signal,
            logger: silentLogger,
            nodeId: `node-${index}`,
            bootId: `${startCount++}`,
        };
        const connect: Parameters<typeof createOwnedNode>[0]["connect"] = (nodeClock) =>
            table.connect(nodeClock, createOutcomeChooser(random, () => fleet.platformMode));
        switch (version) {
            case "naive":
                return createNodeWithoutClaims(shared);
            case "durable":
                return createClaimingNode(shared, (nodeClock) => createClaimManager(
                    { ...shared, clock: nodeClock, tableService: connect(nodeClock), options: claimOptions },
                ));
            case "owned":
                return createOwnedNode(
                    { ...shared, connect, claimOptions, ownershipOptions, members: () => members },
                );
        }
    };

    const fleet: Fleet = {
        clock,
        random,
        table,
        target,
        nodes: [],
        results: [],
        platformMode: "healthy",
        restart: (index) => {
            fleet.nodes[index]?.clock.freeze();
            fleet.nodes[index] = start(index);
        },
        send: async (index, key) => {
            for (let offset = 0; offset < NODES; offset++) {
                const result = await fleet.nodes[(index + offset) % NODES]?.handle(key, TIMEOUT);
                if (result !== undefined) {
                    fleet.results.push(result);
                }
                if (result?.verdict !== "notRun") {
                    return;
                }
            }
        },
        stop: () => controller.abort(),
    };
    fleet.nodes.push(...members.map((_, index) => start(index)));
    return fleet;
};

/**
 * Sends each key several times through several nodes, while nodes are killed and the platform is in the mode `mixed`
 * half of the time.
 */
export const measureRuns = async (version: ClaimVersion, seed: number): Promise<RunsFigures> => {
    const fleet = createFleet(version, seed, FAILURES, 2 * SECOND);
    const { clock, random, target } = fleet;
    await clock.advance(SETTLE_TIME);
    const keys: string[] = [];
    for (let sent = 0; sent < KEYS * SENDS_PER_KEY; sent++) {
        fleet.platformMode = random() < 0.5 ? "healthy" : "mixed";
        const key = sent % SENDS_PER_KEY === 0 ? generateKey(clock.now(), random) : keys.at(-1) ?? "";
        if (key !== keys.at(-1)) {
            keys.push(key);
        }
        void fleet.send(pickIndex(random, NODES), key);
        if (random() < KILL_PROBABILITY) {
            fleet.restart(pickIndex(random, NODES));
        }
        await clock.advance(random() * MAX_PAUSE);
    }
    fleet.platformMode = "healthy";
    await clock.advance(SETTLE_TIME);
    fleet.stop();
    const runs = keys.map(target.countRuns);
    return {
        keys: keys.length,
        maxRunsPerKey: target.maxRuns(),
        keysRunTwiceOrMore: runs.filter((count) => count > 1).length,
        shareOfKeysRun: runs.filter((count) => count > 0).length / keys.length,
        falseNotRun: fleet.results.filter(({ verdict, sent }) => verdict === "notRun" && sent).length,
    };
};

/** Sends new keys at equal intervals during an outage, each to all nodes in turn until one does not refuse it. */
export const measureOutage = async (
    version: ClaimVersion,
    seed: number,
    leaseMs: number,
    outageMs: number,
): Promise<OutageFigures> => {
    const fleet = createFleet(version, seed, NO_FAILURES, leaseMs);
    const { clock, random, target } = fleet;
    await clock.advance(SETTLE_TIME);
    fleet.platformMode = "down";
    const requests = 200;
    for (let request = 0; request < requests; request++) {
        const key = generateKey(clock.now(), random);
        void fleet.send(0, key);
        await clock.advance(outageMs / requests);
    }
    fleet.stop();
    return { outageMs, leaseMs, requests, acceptedShare: target.totalRuns() / requests };
};
