import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const FULL = { inFlight: 10, queued: 5, capacity: 10, expectedWaitMs: 50 };
const FREE = { inFlight: 3, queued: 0, capacity: 10, expectedWaitMs: 0 };

describe("slow targets", () => {
    // Symptom: for a second after a target turns slow, requests pile up there.
    // Sequence: its requests under way grow old; none of them has been answered.
    // Cause: a latency is known only once an answer is there.
    it("counts the age of unanswered requests against a target", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        await harness.send(100, () => ({ kind: "Answered", latencyMs: 10 }));
        const first = harness.pick();
        harness.clock.freeze(100);
        const others = Array.from({ length: 4 }, () => harness.pick()?.target.nodeId);
        expect(others).to.not.include(first?.target.nodeId);
    });

    // Symptom: one request in twenty is answered by a target that is known to be slow, while another zone is idle.
    // Sequence: one of a zone's two targets is ejected; the other one queues; its latency rises until the slow one
    // looks no longer slow and returns.
    // Cause: a zone that queues for want of targets refuses nothing, and so keeps its whole share.
    it("moves a part of a zone's share while it queues for want of an ejected target", async () => {
        const targets = [...createTargets("hall-a", 2), ...createTargets("hall-b", 2)];
        const harness = createPickerHarness(targets, createRow({ "hall-a": 1, "hall-b": 1 }));
        const send = async (count: number): Promise<number> => {
            let sentToA = 0;
            for (let sent = 0; sent < count; sent++) {
                const chosen = harness.pick();
                const isA = chosen?.target.zone === "hall-a";
                sentToA += isA ? 1 : 0;
                chosen?.report({ kind: "Answered", latencyMs: 10 }, isA ? FULL : FREE);
                harness.clock.freeze(1);
            }
            return sentToA;
        };
        expect(await send(200), "a queue alone moves nothing").to.be.within(98, 102);
        for (let count = 0; count < 4; count++) {
            harness.pick(["hall-a-1", "hall-b-0", "hall-b-1"])?.report({ kind: "Answered", latencyMs: 500 });
        }
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        expect(await send(200)).to.be.below(80);
    });

    // Symptom: good targets are ejected in turn, and the rest of the service is overloaded.
    // Sequence: a service runs calls of 50 ms and reads of 900 ms; a few reads in a row go to one target.
    // Cause: each latency is compared with the usual one of all kinds of requests together.
    it("does not take a target that runs long requests for a slow one", () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        const send = (kind: string, latencyMs: number): void => {
            harness.pick([], true, kind)?.report({ kind: "Answered", latencyMs });
            harness.clock.freeze(10);
        };
        for (let count = 0; count < 60; count++) {
            send("call", 50);
            send("call", 50);
            send("read", 900);
        }
        for (let count = 0; count < 20; count++) {
            send("read", 900);
            expect(harness.zone("hall-a")?.ejected).to.equal(0);
        }
    });
});
