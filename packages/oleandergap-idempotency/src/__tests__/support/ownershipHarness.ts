/** Test harness for owners of one partition that share a table, with a manual membership and a manual clock. */
import { setMaxListeners } from "node:events";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import {
    claimOptionsSchema,
    createPartitionOwnership,
    ownershipOptionsSchema,
    rankOwners,
    readKeyTime,
    type Claim,
    type KeyDecision,
    type PartitionOwnership,
} from "../../index.js";
import { createFreezableClock, type FreezableClock } from "../../measure/freezableClock.js";
import { createMemoryTable, type CallOutcome, type MemoryTable } from "../../measure/memoryTable.js";
import { generateKey } from "../../measure/generateKey.js";
import { SIMULATED_SERVICE } from "../../measure/simulatedNode.js";
import { HEALTHY } from "./claimHarness.js";
import { silentLogger } from "./silentLogger.js";

/** Duration of a lease, in milliseconds. */
export const LEASE = 60_000;

export interface OwnerNode {
    readonly nodeId: string;
    readonly clock: FreezableClock;
    readonly ownership: PartitionOwnership;
    /** Outcomes of the next writes; after them, `defaultOutcome` applies. */
    readonly writeOutcomes: CallOutcome[];
    /** Outcome of reads, and of writes without an outcome in `writeOutcomes`. */
    defaultOutcome: CallOutcome;
    readonly decide: (key: string) => KeyDecision;
}

export interface OwnershipHarness {
    readonly clock: ManualClock;
    readonly table: MemoryTable;
    /** Nodes that may own keys, in the view of all nodes; the one that ranks first should own the partition. */
    members: readonly string[];
    /** Nodes that the membership has not removed. */
    alive: readonly string[];
    readonly start: (nodeId: string) => OwnerNode;
    readonly generateKey: () => string;
    readonly stop: () => void;
}

/** Names of two nodes, in the order in which they rank as owners of the only partition. */
export const [FIRST_RANKED = "", SECOND_RANKED = ""] = rankOwners(
    { service: SIMULATED_SERVICE, partition: 0 },
    ["node-1", "node-2"],
);

export const createOwnershipHarness = (): OwnershipHarness => {
    const clock = createManualClock();
    const random = createSeededRandom(1);
    const table = createMemoryTable(clock);
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    let startCount = 0;

    const start = (nodeId: string): OwnerNode => {
        const nodeClock = createFreezableClock(clock);
        const writeOutcomes: CallOutcome[] = [];
        const tableService = table.connect(nodeClock, (call) =>
            (call === "write" ? writeOutcomes.shift() : undefined) ?? node.defaultOutcome);
        const ownership = createPartitionOwnership({
            tableService,
            clock: nodeClock,
            random,
            nodeId,
            bootId: `${startCount++}`,
            logger: silentLogger,
            claimOptions: claimOptionsSchema.parse({ keyClockToleranceMs: 1000 }),
            options: ownershipOptionsSchema.parse({ enabled: true, partitions: 1, leaseMs: LEASE }),
            signal: controller.signal,
            services: () => [SIMULATED_SERVICE],
            members: () => harness.members,
            isMember: (member) => harness.alive.includes(member),
        });
        const decide = (key: string): KeyDecision => ownership.acceptKey(
            { ...SIMULATED_SERVICE, key, fingerprint: "same", deadline: clock.monotonic() + LEASE },
            readKeyTime(key) ?? 0,
        );
        const node: OwnerNode =
            { nodeId, clock: nodeClock, ownership, writeOutcomes, defaultOutcome: HEALTHY, decide };
        void ownership.start(controller.signal);
        return node;
    };

    const harness: OwnershipHarness = {
        clock,
        table,
        members: [FIRST_RANKED, SECOND_RANKED],
        alive: [FIRST_RANKED, SECOND_RANKED],
        start,
        generateKey: () => generateKey(clock.now(), random),
        stop: () => controller.abort(),
    };
    return harness;
};

export const expectAccepted = (decision: KeyDecision): Claim => {
    if (decision.kind !== "Granted") {
        throw new Error(`expected the key to be accepted, found ${JSON.stringify(decision)}`);
    }
    return decision.claim;
};
