import { setMaxListeners } from "node:events";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createGate, defaultGateOptions, type Gate } from "oleandergap-gate";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock, type Random } from "oleandergap-utils";
import {
    createOverloadThrottle,
    createRequestRouter,
    createTargetPicker,
    type AttemptResult,
    type RequestRouter,
    type RoutableTarget,
} from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const STEP_MS: Milliseconds = 5;
const WARM_UP_MS: Milliseconds = 2000;
const MEASURED_MS: Milliseconds = 10_000;
const ENTRY_NODES = 10;
const SLOTS = 18;

/** Requests of one kind. Times are in milliseconds. */
interface Kind {
    readonly name: string;
    readonly priority: number;
    readonly requestsPerSecond: number;
    readonly runMs: Milliseconds;
    readonly objectiveMs: Milliseconds;
    readonly deadlineMs: Milliseconds;
}

const urgentKind: Kind =
    { name: "issue", priority: 0, requestsPerSecond: 200, runMs: 134, objectiveMs: 250, deadlineMs: 800 };
const callKind: Kind =
    { name: "status", priority: 1, requestsPerSecond: 500, runMs: 48, objectiveMs: 120, deadlineMs: 400 };

interface Counts {
    requested: number;
    served: number;
}

const createRouters = (clock: ManualClock, seed: number): readonly RequestRouter<RoutableTarget>[] =>
    Array.from({ length: ENTRY_NODES }, (_, index) => createRequestRouter({
        clock,
        picker: createTargetPicker<RoutableTarget>({
            localNodeId: `entry-${index}`, localZone: "hall-b", clock, random: createSeededRandom(seed + index),
        }),
        throttle: createOverloadThrottle(clock, createSeededRandom(seed + ENTRY_NODES + index)),
    }));

/** Creates the sender of requests through the entry nodes to the only target. It returns whether one was served. */
const createSender = (clock: ManualClock, random: Random, seed: number) => {
    const routers = createRouters(clock, seed);
    const targets = createTargets("hall-a", 1).map((target) => ({ ...target, slots: SLOTS }));
    const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
    const options = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" } as const;
    const gate: Gate = createGate({ clock, limit, slots: SLOTS, options });
    const row = { ...createRow({}, 0.1), placement: "load" as const };
    const { signal } = new AbortController();
    // All simulated callers add a listener to this signal.
    setMaxListeners(0, signal);

    return async ({ name: kind, priority, runMs, objectiveMs, deadlineMs }: Kind): Promise<boolean> => {
        const deadline = clock.monotonic() + deadlineMs;
        const objective = clock.monotonic() + objectiveMs;
        const attempt = async (): Promise<AttemptResult<string>> => {
            const admission = await gate.admit({ ...testService, kind, priority, deadline, objective, signal });
            if (either.isLeft(admission)) {
                return { outcome: admission, load: gate.load(), retriedDownstream: false };
            }
            await clock.sleep(runMs * (0.5 + random()), signal);
            admission.right.release("Answered");
            return { outcome: either.right("answer"), load: gate.load(), retriedDownstream: false };
        };
        const routed = await routers[Math.floor(random() * ENTRY_NODES)]?.execute<string>({
            service: testService, row, targets, idempotent: true, canReplayBody: () => true,
            deadline, objective, retriesAllowed: true, maximumTargets: 2, kind, signal,
        }, attempt);
        return routed !== undefined && either.isRight(routed);
    };
};

/** Offers requests of the kinds and returns how many of each were requested and served after the warm-up. */
const simulate = async (kinds: readonly Kind[], seed: number): Promise<readonly Counts[]> => {
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const send = createSender(clock, random, seed + 1);
    const counts = kinds.map((): Counts => ({ requested: 0, served: 0 }));
    const startedAt = clock.monotonic();
    const sendCounted = async (kind: Kind, kindCounts: Counts): Promise<void> => {
        const isCounted = clock.monotonic() - startedAt >= WARM_UP_MS;
        kindCounts.requested += isCounted ? 1 : 0;
        const isServed = await send(kind);
        kindCounts.served += isCounted && isServed ? 1 : 0;
    };
    const due = kinds.map(() => 0);
    for (let time = 0; time < WARM_UP_MS + MEASURED_MS; time += STEP_MS) {
        kinds.forEach((kind, index) => {
            const kindCounts = counts[index];
            due[index] = (due[index] ?? 0) + (kind.requestsPerSecond * STEP_MS) / 1000;
            for (; kindCounts !== undefined && (due[index] ?? 0) >= 1; due[index] = (due[index] ?? 0) - 1) {
                void sendCounted(kind, kindCounts);
            }
        });
        await clock.advance(STEP_MS);
    }
    await clock.advance(2000);
    return counts;
};

const computeServedShare = (counts: readonly Counts[]): number =>
    counts.reduce((sum, { served }) => sum + served, 0) / counts.reduce((sum, { requested }) => sum + requested, 0);

describe("calls of a less urgent priority", () => {
    // Guards against runs that all fail for want of a call while more urgent requests take every slot of a service.
    it("are served at least a quarter as often as all requests while more urgent requests fill the target", async () => {
        for (const seed of [1, 2, 3]) {
            const counts = await simulate([urgentKind, callKind], 100 * seed);
            const urgentShare = computeServedShare(counts.slice(0, 1));
            const callShare = computeServedShare(counts.slice(1));
            expect(callShare).to.be.at.least(computeServedShare(counts) / 4);
            expect(urgentShare).to.be.at.least(callShare);
        }
    });
});
