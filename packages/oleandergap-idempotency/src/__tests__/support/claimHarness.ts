/** Test harness for the claim managers of several nodes that share one table, with a manual clock. */
import { setMaxListeners } from "node:events";
import * as either from "fp-ts/lib/Either.js";
import type { RequestFailure } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import { claimOptionsSchema, createClaimManager, type Claim, type ClaimManager, type ClaimResult } from "../../index.js";
import { createFreezableClock, type FreezableClock } from "../../measure/freezableClock.js";
import { createMemoryTable, type CallOutcome, type MemoryTable } from "../../measure/memoryTable.js";
import { SIMULATED_SERVICE } from "../../measure/simulatedNode.js";
import { silentLogger } from "./silentLogger.js";

export const HEALTHY: CallOutcome = { kind: "Answered", delayMs: 1 };
/** Timeout of the claims, in milliseconds. */
export const TIMEOUT = 1000;
/** Time that is enough for a release and a subsequent claim, in milliseconds. */
const CLAIM_TIME = 50;

export interface ClaimNode {
    readonly claimManager: ClaimManager;
    readonly clock: FreezableClock;
    /** Outcomes of the next writes; after them, all writes succeed. */
    readonly writeOutcomes: CallOutcome[];
    /** Claims a key and advances the clock until the result is available. */
    readonly claim: (key: string, fingerprint?: string) => Promise<ClaimResult>;
    /** Starts a claim without advancing the clock. */
    readonly startClaim: (key: string, signal?: AbortSignal) => Promise<ClaimResult>;
}

export interface ClaimHarness {
    readonly clock: ManualClock;
    readonly table: MemoryTable;
    readonly startNode: (nodeId: string) => ClaimNode;
    readonly stop: () => void;
}

export const createClaimHarness = (): ClaimHarness => {
    const clock = createManualClock();
    const table = createMemoryTable(clock);
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    let startCount = 0;

    const startNode = (nodeId: string): ClaimNode => {
        const nodeClock = createFreezableClock(clock);
        const writeOutcomes: CallOutcome[] = [];
        const chooseOutcome = (call: "read" | "write"): CallOutcome =>
            call === "write" ? writeOutcomes.shift() ?? HEALTHY : HEALTHY;
        const claimManager = createClaimManager({
            tableService: table.connect(nodeClock, chooseOutcome),
            clock: nodeClock,
            random: createSeededRandom(1),
            nodeId,
            bootId: `${startCount++}`,
            logger: silentLogger,
            options: claimOptionsSchema.parse({}),
            signal: controller.signal,
        });
        const start = (key: string, fingerprint: string, signal: AbortSignal): Promise<ClaimResult> =>
            claimManager.claim(
                { ...SIMULATED_SERVICE, key, fingerprint, deadline: clock.monotonic() + TIMEOUT },
                signal,
            );
        return {
            claimManager,
            clock: nodeClock,
            writeOutcomes,
            startClaim: (key, signal = controller.signal) => start(key, "same", signal),
            claim: async (key, fingerprint = "same") => {
                const pending = start(key, fingerprint, controller.signal);
                await clock.advance(CLAIM_TIME);
                return pending;
            },
        };
    };
    return { clock, table, startNode, stop: () => controller.abort() };
};

export const expectGranted = (result: ClaimResult): Claim => {
    if (either.isLeft(result) || result.right.kind !== "Granted") {
        throw new Error(`expected a granted claim, found ${JSON.stringify(result)}`);
    }
    return result.right.claim;
};

export const expectFailure = (result: ClaimResult): RequestFailure => {
    if (either.isRight(result)) {
        throw new Error(`expected a failure, found ${result.right.kind}`);
    }
    return result.left;
};
