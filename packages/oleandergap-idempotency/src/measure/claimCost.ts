/** What a claim costs: transactions, row writes and reads on the platform, and processor time of the node. */
import { setMaxListeners } from "node:events";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { createManualClock, createSeededRandom, createSystemClock, type Random } from "oleandergap-utils";
import { createClaimKeeper, type ClaimKeeper, type ClaimKeeperDependencies } from "../claim/claimKeeper.js";
import { claimOptionsSchema, ownershipOptionsSchema } from "../options.js";
import { createPartitionOwnership } from "../ownership/partitionOwnership.js";
import { createMemoryTable, type MemoryTable } from "./memoryTable.js";
import { mintKey } from "./mintKey.js";
import { SIMULATED_SERVICE } from "./simulatedNode.js";

export interface CostFigures {
    readonly claims: number;
    readonly transactionsPerClaim: number;
    readonly rowWritesPerClaim: number;
    readonly readsPerClaim: number;
    readonly microsecondsOfProcessorPerClaim: number;
}

const KEEP_ALIVE_PERIOD = 1000;
const ANSWER = { status: 200, headers: [], body: Buffer.from("lodged") };
const SETTLE_TIME = 60_000;

const drop = (): void => undefined;
const silentLogger: Logger = { debug: drop, info: drop, warn: drop, error: drop };

const readProcessorTime = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};

const claimAndComplete = async (keeper: ClaimKeeper, key: string, signal: AbortSignal): Promise<void> => {
    const deadline = Number.POSITIVE_INFINITY;
    const result = await keeper.claim({ ...SIMULATED_SERVICE, key, fingerprint: "same", deadline }, signal);
    if (result._tag === "Right" && result.right.kind === "Granted") {
        result.right.claim.complete(ANSWER);
    }
};

/** What one measurement works with. */
interface Surroundings {
    /** Ends what runs in the background. */
    readonly controller: AbortController;
    readonly random: Random;
    readonly table: MemoryTable;
    readonly dependencies: Omit<ClaimKeeperDependencies, "options">;
}

/** A table in memory that answers at once, and what the claims of one node work with beside their options. */
const createSurroundings = (clock: Clock): Surroundings => {
    const controller = new AbortController();
    const { signal } = controller;
    setMaxListeners(0, signal);
    const random = createSeededRandom(1);
    const table = createMemoryTable(clock);
    const tableService = table.connect(clock, () => ({ kind: "Answered", delayMs: 0 }));
    const dependencies = { tableService, clock, random, nodeId: "node-0", bootId: "0", logger: silentLogger, signal };
    return { controller, random, table, dependencies };
};

/**
 * `concurrent` requests arrive together, `rounds` times, in real time. The processor time includes that of the table
 * in memory.
 */
export const measureDurableCost = async (concurrent: number, rounds: number): Promise<CostFigures> => {
    const { controller, random, table, dependencies } = createSurroundings(createSystemClock());
    const options = claimOptionsSchema.parse({ batchWindowMs: 1 });
    const keeper = createClaimKeeper({ ...dependencies, options });
    // The clock's timers do not keep a process alive by themselves.
    const keepAlive = setInterval(drop, KEEP_ALIVE_PERIOD);
    const before = readProcessorTime();
    for (let round = 0; round < rounds; round++) {
        const keys = Array.from({ length: concurrent }, () => mintKey(Date.now(), random));
        await Promise.all(keys.map((key) => claimAndComplete(keeper, key, controller.signal)));
    }
    await keeper.drain(controller.signal);
    const spent = readProcessorTime() - before;
    clearInterval(keepAlive);
    controller.abort();
    const claims = concurrent * rounds;
    return {
        claims,
        transactionsPerClaim: keeper.stats().transactions / claims,
        rowWritesPerClaim: table.rowWrites() / claims,
        readsPerClaim: table.reads() / claims,
        microsecondsOfProcessorPerClaim: spent / claims,
    };
};

/** The same for keys that are accepted from memory and recorded behind; `roundMs` apart, with time moved by hand. */
export const measureOwnedCost = async (concurrent: number, rounds: number, roundMs: number): Promise<CostFigures> => {
    const clock = createManualClock();
    const { controller, random, table, dependencies } = createSurroundings(clock);
    const ownership = createPartitionOwnership({
        ...dependencies,
        claimOptions: claimOptionsSchema.parse({}),
        options: ownershipOptionsSchema.parse({ enabled: true, partitions: 8, maxKeys: 1_000_000 }),
        services: () => [SIMULATED_SERVICE],
        members: () => ["node-0"],
        isMember: () => true,
    });
    void ownership.start(controller.signal);
    await clock.advance(SETTLE_TIME);
    const start = { transactions: ownership.stats().transactions, rowWrites: table.rowWrites(), reads: table.reads() };
    let spent = 0;
    for (let round = 0; round < rounds; round++) {
        const keys = Array.from({ length: concurrent }, () => mintKey(clock.now(), random));
        const before = readProcessorTime();
        for (const key of keys) {
            const request = { ...SIMULATED_SERVICE, key, fingerprint: "same", deadline: Number.POSITIVE_INFINITY };
            const decision = ownership.acceptKey(request, clock.now());
            if (decision.kind === "Granted") {
                decision.claim.complete(ANSWER);
            }
        }
        spent += readProcessorTime() - before;
        await clock.advance(roundMs);
    }
    controller.abort();
    const claims = concurrent * rounds;
    return {
        claims,
        transactionsPerClaim: (ownership.stats().transactions - start.transactions) / claims,
        rowWritesPerClaim: (table.rowWrites() - start.rowWrites) / claims,
        readsPerClaim: (table.reads() - start.reads) / claims,
        microsecondsOfProcessorPerClaim: spent / claims,
    };
};
