import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { RequestFailure } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createRequestRouter, createTargetPicker, type RoutableTarget } from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const UNREACHABLE_NODE = "hall-a-0";
const TIME_LEFT_MS = 300;

describe("a target whose node is unreachable", () => {
    // Guards against an unreachable target that is ejected and readmitted many times per second. Requests wait for a
    // connection until their deadlines, and this node refuses them; such a refusal must not count as a response of the
    // target's node.
    it("is not readmitted after refusals by the local node", async () => {
        const clock = createManualClock();
        const picker = createTargetPicker<RoutableTarget>({ localZone: "hall-b", clock, random: createSeededRandom(1) });
        const router = createRequestRouter({ clock, picker });
        const targets = createTargets("hall-a", 4);
        const row = { ...createRow({}), placement: "load" as const };
        const deadlinePassed: RequestFailure =
            { kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 };
        let sentToUnreachable = 0;
        const sendRequest = (): Promise<unknown> => router.execute<string>({
            service: testService,
            row,
            targets,
            idempotent: true,
            canReplayBody: () => true,
            deadline: clock.monotonic() + TIME_LEFT_MS,
            retriesAllowed: false,
            signal: new AbortController().signal,
        }, async (target) => {
            const isUnreachable = target.nodeId === UNREACHABLE_NODE;
            sentToUnreachable += isUnreachable ? 1 : 0;
            await clock.sleep(isUnreachable ? TIME_LEFT_MS : 50, new AbortController().signal);
            return isUnreachable ?
                { outcome: either.left(deadlinePassed), load: undefined, retriedDownstream: false } :
                {
                    outcome: either.right("answer"),
                    load: { inFlight: 2, queued: 0, capacity: 10, expectedWaitMs: 0 },
                    retriedDownstream: false,
                };
        });
        const pendingRequests: Promise<unknown>[] = [];
        for (let count = 0; count < 500; count++) {
            pendingRequests.push(sendRequest());
            await clock.advance(10);
        }
        await clock.advance(2 * TIME_LEFT_MS);
        await Promise.all(pendingRequests);
        expect(sentToUnreachable).to.be.below(25);
    });
});
