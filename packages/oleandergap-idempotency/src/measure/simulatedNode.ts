/**
 * Simulated process that runs requests with an idempotency key, with or without claims, and with a clock that can be
 * frozen. A process is killed by freezing its clock and never resuming it: none of its pending steps then runs.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { ClaimManager, ClaimResult } from "../claim/claimManager.js";
import type { Claim } from "../claim/localClaims.js";
import { createFreezableClock, type FreezableClock } from "./freezableClock.js";
import type { SimulatedTarget, CallerResult } from "./simulatedTarget.js";

/** Service of all simulated requests. */
export const SIMULATED_SERVICE = { partner: "halloway", service: "grant-filer" } as const;

/** Longest time between two steps of a request, in milliseconds. */
const MAX_STEP_DELAY = 20;
/** Number of attempts of a node without claims. */
const ATTEMPTS_WITHOUT_CLAIMS = 3;

export interface SimulatedNode {
    readonly clock: FreezableClock;
    /** Resolves to the result for the caller; never resolves when the process is killed earlier. */
    readonly handle: (key: string, timeout: Milliseconds) => Promise<CallerResult>;
}

export interface SimulatedNodeDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly target: SimulatedTarget;
    readonly signal: AbortSignal;
    /** Error of the process's wall clock, in milliseconds. */
    readonly wallClockOffset?: Milliseconds;
}

const createCallerResult = (key: string, result: Exclude<ClaimResult, { right: { kind: "Granted" } }>): CallerResult => {
    if (either.isLeft(result)) {
        return { key, verdict: result.left.verdict, sent: false };
    }
    const known = result.right;
    const body = known.kind === "Replay" ? Buffer.from(known.answer.body).toString() : undefined;
    return { key, verdict: "ran", body, sent: false };
};

/** Creates a node that runs a request only with a claim. `createClaimManager` creates its claim manager. */
export const createClaimingNode = (
    dependencies: SimulatedNodeDependencies,
    createClaimManager: (clock: Clock) => ClaimManager,
): SimulatedNode => {
    const { random, target, signal } = dependencies;
    const clock = createFreezableClock(dependencies.clock, dependencies.wallClockOffset);
    const claimManager = createClaimManager(clock);
    const pauseBetweenSteps = (): Promise<void> => clock.sleep(random() * MAX_STEP_DELAY, signal);

    const run = async (key: string, claim: Claim): Promise<CallerResult> => {
        await pauseBetweenSteps();
        if (!claim.mayStart()) {
            claim.release();
            return { key, verdict: "notRun", sent: false };
        }
        // Time between the last check and the send, during which the process may be frozen for any length of time.
        await pauseBetweenSteps();
        const { outcome, body } = target.run(key);
        await pauseBetweenSteps();
        switch (outcome) {
            case "Answered":
                claim.complete({ status: 200, headers: [], body: Buffer.from(body) });
                return { key, verdict: "ran", body, sent: true };
            case "AnswerLost":
                claim.leaveOpen();
                return { key, verdict: "mayHaveRun", sent: true };
            case "ConnectFailed":
                claim.release();
                return { key, verdict: "notRun", sent: false };
        }
    };

    const handle = async (key: string, timeout: Milliseconds): Promise<CallerResult> => {
        const deadline = clock.monotonic() + timeout;
        const request = { ...SIMULATED_SERVICE, key, fingerprint: "same", deadline };
        const result = await claimManager.claim(request, signal);
        return either.isRight(result) && result.right.kind === "Granted" ?
            run(key, result.right.claim) :
            createCallerResult(key, result);
    };

    return { clock, handle };
};

/** Creates a node that sends each request without a claim and retries it on every error, like a plain proxy. */
export const createNodeWithoutClaims = (
    { clock: baseClock, random, target, signal }: SimulatedNodeDependencies,
): SimulatedNode => {
    const clock = createFreezableClock(baseClock);
    const handle = async (key: string): Promise<CallerResult> => {
        for (let attempt = 0; attempt < ATTEMPTS_WITHOUT_CLAIMS; attempt++) {
            await clock.sleep(random() * MAX_STEP_DELAY, signal);
            const { outcome, body } = target.run(key);
            if (outcome === "Answered") {
                return { key, verdict: "ran", body, sent: true };
            }
        }
        return { key, verdict: "mayHaveRun", sent: true };
    };
    return { clock, handle };
};
