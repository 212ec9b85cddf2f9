import { expect } from "chai";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { computeLoadPerSlot } from "../targetScore.js";
import { createTargetState, recordEndedRequest, recordSentRequest } from "../targetState.js";
import { createTargets } from "./pickerHarness.js";

const TYPICAL_MS: Milliseconds = 42.7;

/** Sends two requests that overlap to a target and returns its load per slot once both have ended. */
const computeLoadAfterTwo = (sentAt: readonly [Milliseconds, Milliseconds], typicalMs: Milliseconds): number => {
    const [target] = createTargets("hall-a", 1);
    if (target === undefined) {
        throw new Error("there is no target");
    }
    const state = createTargetState(target, createManualClock());
    const now = sentAt[1] + TYPICAL_MS;
    const requests = sentAt.map((time, index) => ({ sentAt: time, kind: "", typicalMs: typicalMs * (1 + index / 3) }));
    requests.forEach((request) => recordSentRequest(state, request.sentAt, request.typicalMs));
    requests.forEach((request) => recordEndedRequest(state, undefined, request, now));
    return computeLoadPerSlot(state, {
        now,
        loadReportLifetimeMs: 2000,
        silenceMs: 1000,
        missedSignsMs: 1000,
        typicalLatencyMs: TYPICAL_MS,
        completion: undefined,
    });
};

describe("the state of a target", () => {
    // Guards against an idle target that gets no requests because it counts as eight times slower.
    it("counts no delay while no request is in flight", () => {
        const random = createSeededRandom(1);
        for (let count = 0; count < 1000; count++) {
            // A third fills all digits of a number, so that sums are rounded.
            const first = (10_000 * random()) / 3;
            const load = computeLoadAfterTwo([first, first + (50 * random()) / 3], TYPICAL_MS * (0.5 + random() / 3));
            expect(load).to.equal(0.1);
        }
    });
});
