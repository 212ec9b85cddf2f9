import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { GateLoad, RefusalReason } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createOverloadThrottle, createRequestRouter, createTargetPicker, type RoutableTarget } from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";
import { refused } from "./routerHarness.js";

interface SimulationResult {
    readonly answered: number;
    /**
     * Requests whose final failure is a refusal by a target (`shed`), and those that this node refused without an
     * attempt.
     */
    readonly shed: number;
    readonly refusedLocally: number;
    readonly longestRetryAfterMs: number;
}

const FREE_LOAD: GateLoad = { inFlight: 3, queued: 0, capacity: 10, expectedWaitMs: 0 };
const FULL_LOAD: GateLoad = { inFlight: 10, queued: 40, capacity: 10, expectedWaitMs: 400 };

/** Sends 2000 requests to targets that each refuse a share of them, with the given reason and reported load. */
const simulate = async (shedShare: number, reason: RefusalReason, load: GateLoad): Promise<SimulationResult> => {
    const clock = createManualClock();
    const random = createSeededRandom(5);
    const picker = createTargetPicker<RoutableTarget>({ localZone: "hall-a", clock, random: createSeededRandom(1) });
    const router = createRequestRouter({
        clock,
        picker,
        throttle: createOverloadThrottle(clock, createSeededRandom(2)),
    });
    const targets = createTargets("hall-a", 6);
    const row = { ...createRow({}, 0.1), placement: "load" as const };
    const counts = { answered: 0, shed: 0, refusedLocally: 0, longestRetryAfterMs: 0 };
    for (let count = 0; count < 2000; count++) {
        const result = await router.execute<string>({
            service: testService,
            row,
            targets,
            idempotent: true,
            canReplayBody: () => true,
            deadline: clock.monotonic() + 1000,
            retriesAllowed: true,
            signal: new AbortController().signal,
        }, async () => ({
            outcome: random() < shedShare ? either.left(refused(reason, 0)) : either.right("answer"),
            load,
            retriedDownstream: false,
        }));
        if (either.isRight(result)) {
            counts.answered += 1;
        }
        else {
            counts.shed += result.left.attemptedTargets.length > 0 ? 1 : 0;
            counts.refusedLocally += result.left.attemptedTargets.length > 0 ? 0 : 1;
            counts.longestRetryAfterMs = Math.max(counts.longestRetryAfterMs, result.left.retryAfterMs);
        }
        await clock.advance(10);
    }
    return counts;
};

describe("targets that shed a share of their requests", () => {
    // Guards against refusing a third of all requests at the first node with `LimitReached`, and suggesting a retry
    // delay of a second to the other callers, while half of the slots are free. Targets that reject 55 of 100 requests
    // at once must not count as overloaded.
    it("keep receiving requests, with a short retry delay, while they have free slots", async () => {
        const shed = await simulate(0.55, "TargetBusy", FREE_LOAD);
        expect(shed.refusedLocally).to.equal(0);
        expect(shed.answered).to.be.above(0.45 * 2000);
        expect(shed.longestRetryAfterMs).to.equal(50);
    });

    it("receive fewer requests when they are full as well", async () => {
        const full = await simulate(0.8, "TargetBusy", FULL_LOAD);
        expect(full.refusedLocally).to.be.above(400);
        const queueFull = await simulate(0.8, "QueueFull", FREE_LOAD);
        expect(queueFull.refusedLocally).to.be.above(400);
    });
});
