/** Measures the cost of a claim: transactions, row writes and reads on the platform, and CPU time of the node. */
import { setMaxListeners } from "node:events";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { createManualClock, createSeededRandom, createSystemClock, type Random } from "oleandergap-utils";
import { createClaimManager, type ClaimManager, type ClaimManagerDependencies } from "../claim/claimManager.js";
import { claimOptionsSchema, ownershipOptionsSchema } from "../options.js";
import { createPartitionOwnership } from "../ownership/partitionOwnership.js";
import { createMemoryTable, type MemoryTable } from "./memoryTable.js";
import { generateKey } from "./generateKey.js";
import { SIMULATED_SERVICE } from "./simulatedNode.js";

export interface CostFigures {
    readonly claims: number;
    readonly transactionsPerClaim: number;
    readonly rowWritesPerClaim: number;
    readonly readsPerClaim: number;
    readonly microsecondsOfProcessorPerClaim: number;
}

/** Interval of the timer that keeps the process alive, in milliseconds. */
const KEEP_ALIVE_PERIOD = 1000;
const RESPONSE = { status: 200, headers: [], body: Buffer.from("lodged") };
/** Time for the node to take its partitions before the measurement, in milliseconds. */
const SETTLE_TIME = 60_000;

const doNothing = (): void => undefined;
const silentLogger: Logger = { debug: doNothing, info: doNothing, warn: doNothing, error: doNothing };

/** Returns the CPU time that this process has used, in microseconds. */
const getCpuTime = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};

const claimAndComplete = async (claimManager: ClaimManager, key: string, signal: AbortSignal): Promise<void> => {
    const deadline = Number.POSITIVE_INFINITY;
    const result = await claimManager.claim({ ...SIMULATED_SERVICE, key, fingerprint: "same", deadline }, signal);
    if (result._tag === "Right" && result.right.kind === "Granted") {
        result.right.claim.complete(RESPONSE);
    }
};

/** Objects that one measurement uses. */
interface MeasurementSetup {
    /** Its signal stops all background work. */
    readonly controller: AbortController;
    readonly random: Random;
    readonly table: MemoryTable;
    readonly dependencies: Omit<ClaimManagerDependencies, "options">;
}

/**
 * Creates a table in memory that responds immediately, and the dependencies of the claims of one node except their
 * options.
 */
const createMeasurementSetup = (clock: Clock): MeasurementSetup => {
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
 * Measures claims in the platform's table in real time: `concurrent` requests arrive together, `rounds` times. The
 * CPU time includes that of the table in memory.
 */
export const measureDurableCost = async (concurrent: number, rounds: number): Promise<CostFigures> => {
    const { controller, random, table, dependencies } = createMeasurementSetup(createSystemClock());
    const options = claimOptionsSchema.parse({ batchWindowMs: 1 });
    const claimManager = createClaimManager({ ...dependencies, options });
    // The timers of the clock do not keep the process alive.
    const keepAlive = setInterval(doNothing, KEEP_ALIVE_PERIOD);
    const before = getCpuTime();
    for (let round = 0; round < rounds; round++) {
        const keys = Array.from({ length: concurrent }, () => generateKey(Date.now(), random));
        await Promise.all(keys.map((key) => claimAndComplete(claimManager, key, controller.signal)));
    }
    await claimManager.drain(controller.signal);
    const cpuTime = getCpuTime() - before;
    clearInterval(keepAlive);
    controller.abort();
    const claims = concurrent * rounds;
    return {
        claims,
        transactionsPerClaim: claimManager.stats().transactions / claims,
        rowWritesPerClaim: table.rowWrites() / claims,
        readsPerClaim: table.reads() / claims,
        microsecondsOfProcessorPerClaim: cpuTime / claims,
    };
};

/**
 * Measures claims that are accepted from memory and recorded in the background, with a manual clock: `concurrent`
 * requests arrive together, `rounds` times, `roundMs` milliseconds apart.
 */
export const measureOwnedCost = async (concurrent: number, rounds: number, roundMs: number): Promise<CostFigures> => {
    const clock = createManualClock();
    const { controller, random, table, dependencies } = createMeasurementSetup(clock);
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
    let cpuTime = 0;
    for (let round = 0; round < rounds; round++) {
        const keys = Array.from({ length: concurrent }, () => generateKey(clock.now(), random));
        const before = getCpuTime();
        for (const key of keys) {
            const request = { ...SIMULATED_SERVICE, key, fingerprint: "same", deadline: Number.POSITIVE_INFINITY };
            const decision = ownership.acceptKey(request, clock.now());
            if (decision.kind === "Granted") {
                decision.claim.complete(RESPONSE);
            }
        }
        cpuTime += getCpuTime() - before;
        await clock.advance(roundMs);
    }
    controller.abort();
    const claims = concurrent * rounds;
    return {
        claims,
        transactionsPerClaim: (ownership.stats().transactions - start.transactions) / claims,
        rowWritesPerClaim: (table.rowWrites() - start.rowWrites) / claims,
        readsPerClaim: (table.reads() - start.reads) / claims,
        microsecondsOfProcessorPerClaim: cpuTime / claims,
    };
};
