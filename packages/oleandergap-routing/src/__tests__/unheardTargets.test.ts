import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { RequestFailure } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createRequestRouter, createTargetPicker, type RoutableTarget } from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const CUT_OFF = "hall-a-0";
const LEFT_MS = 300;

describe("a target whose node is not heard", () => {
    // Symptom: a target in a cut-off zone is ejected and taken back many times a second, and requests wait there.
    // Sequence: requests wait for a connection to it until their time is over; this node refuses them.
    // Cause: any refusal was taken for an answer of the target's node, which closes its circuit.
    it("is not brought back by refusals of this node", async () => {
        const clock = createManualClock();
        const picker = createTargetPicker<RoutableTarget>({ ownZone: "hall-b", clock, random: createSeededRandom(1) });
        const router = createRequestRouter({ clock, picker });
        const targets = createTargets("hall-a", 4);
        const row = { ...createRow({}), placement: "load" as const };
        const outOfTime: RequestFailure = { kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 };
        let sentToCutOff = 0;
        const ask = (): Promise<unknown> => router.execute<string>({
            service: testService,
            row,
            targets,
            idempotent: true,
            replayable: () => true,
            deadline: clock.monotonic() + LEFT_MS,
            retriesAllowed: false,
            signal: new AbortController().signal,
        }, async (target) => {
            const isCutOff = target.nodeId === CUT_OFF;
            sentToCutOff += isCutOff ? 1 : 0;
            await clock.sleep(isCutOff ? LEFT_MS : 50, new AbortController().signal);
            return isCutOff ?
                { outcome: either.left(outOfTime), load: undefined, retriedBelow: false } :
                {
                    outcome: either.right("answer"),
                    load: { inFlight: 2, queued: 0, capacity: 10, expectedWaitMs: 0 },
                    retriedBelow: false,
                };
        });
        const asked: Promise<unknown>[] = [];
        for (let count = 0; count < 500; count++) {
            asked.push(ask());
            await clock.advance(10);
        }
        await clock.advance(2 * LEFT_MS);
        await Promise.all(asked);
        expect(sentToCutOff).to.be.below(25);
    });
});
