import { expect } from "chai";
import type { RoutableTarget, TargetPick } from "../index.js";
import {
    answered,
    connectFailed,
    createPickerHarness,
    createRow,
    createTargets,
    type PickerHarness,
} from "./pickerHarness.js";

const oneZone = createRow({ "hall-a": 1 });
const SIGN_INTERVAL_MS = 200;

const createZone = (count: number): PickerHarness => createPickerHarness(createTargets("hall-a", count), oneZone);

const pickFor = (harness: PickerHarness, nodeId: string): TargetPick<RoutableTarget> => {
    for (let count = 0; count < 1000; count++) {
        const chosen = harness.pick();
        if (chosen?.target.nodeId === nodeId) {
            return chosen;
        }
        chosen?.report({ kind: "Abandoned" });
    }
    throw new Error(`${nodeId} is never picked`);
};

/** One request under way at each of two targets, so that both are loaded alike. */
const occupyBoth = (harness: PickerHarness): readonly [TargetPick<RoutableTarget>, TargetPick<RoutableTarget>] =>
    [pickFor(harness, "hall-a-0"), pickFor(harness, "hall-a-1")];

const lost = { kind: "AnswerLost", waitedMs: 1000, isTimeout: true } as const;

describe("silence", () => {
    // Symptom: for three to five seconds lodgements go to a frozen node, and each is told mayHaveRun.
    // Sequence: a node's process is frozen; its gate gives no sign; requests fail only at their deadlines.
    // Cause: the choice learns of the silence when a request ends, not when the silence is noticed.
    it("avoids a target from its first silence on, and takes it back at its next sign", async () => {
        const harness = createZone(2);
        const [hanging] = occupyBoth(harness);
        expect(hanging.progress.silent()).to.equal(false);
        expect((await harness.send(200)).get("hall-a-0")).to.equal(undefined);
        hanging.progress.heard();
        expect((await harness.send(200)).get("hall-a-0")).to.be.at.least(80);
    });

    // Symptom: lodgements go to a frozen node for half a second although each sign of life was due after 100 ms.
    // Sequence: a node is frozen; the limit after which a request is given up has to spare stalls of 300 ms.
    // Cause: one limit both gives requests up and steers new ones; only the first is costly when it errs.
    it("prefers others as soon as signs are missed, before any request is given up", async () => {
        const harness = createZone(2);
        const [hanging] = occupyBoth(harness);
        hanging.progress.expectSigns();
        harness.clock.freeze(3 * SIGN_INTERVAL_MS);
        expect((await harness.send(100)).get("hall-a-0")).to.equal(undefined);
        hanging.progress.heard();
        expect((await harness.send(100)).get("hall-a-0")).to.be.at.least(30);
    });

    // Symptom: two of four nodes are frozen, and every sixth request still goes to one of them.
    // Sequence: both candidates that are drawn are silent.
    // Cause: silence only counts in the comparison of two.
    it("avoids all silent targets, however many, and serves all the same if none is left", async () => {
        const harness = createZone(4);
        const names = ["hall-a-0", "hall-a-1", "hall-a-2"];
        for (const name of names) {
            pickFor(harness, name).progress.silent();
        }
        expect([...(await harness.send(200)).keys()]).to.deep.equal(["hall-a-3"]);
        pickFor(harness, "hall-a-3").progress.silent();
        expect(harness.pick()).to.not.equal(undefined);
    });

    // Symptom: a zone whose only target is frozen goes on getting its share.
    // Sequence: two zones with a target each; one is frozen.
    // Cause: the zone is chosen before its targets are looked at.
    it("sends a zone's share elsewhere while all of its targets are silent", async () => {
        const targets = [...createTargets("hall-a", 1), ...createTargets("hall-b", 1)];
        const harness = createPickerHarness(targets, createRow({ "hall-a": 1, "hall-b": 1 }));
        const hanging = pickFor(harness, "hall-b-0");
        hanging.progress.silent();
        expect((await harness.send(200)).get("hall-b-0")).to.equal(undefined);
        hanging.progress.heard();
        expect((await harness.send(200)).get("hall-b-0")).to.be.within(98, 102);
    });

    // Symptom: a codicil's signing is lost to a node that is known to be frozen, and reads pile up there.
    // Sequence: the silence lasts; each request may find out whether it is over.
    // Cause: probes are neither safe to repeat nor bounded in number.
    it("probes silent targets with one repeatable request at a time", () => {
        const harness = createZone(4);
        for (const name of ["hall-a-0", "hall-a-1"]) {
            pickFor(harness, name).progress.silent();
        }
        harness.clock.freeze(1010);
        const isProbe = (chosen: TargetPick<RoutableTarget> | undefined): boolean =>
            ["hall-a-0", "hall-a-1"].includes(chosen?.target.nodeId ?? "");
        const signings = Array.from({ length: 50 }, () => harness.pick([], false));
        expect(signings.some(isProbe)).to.equal(false);
        const probes = Array.from({ length: 50 }, () => harness.pick()).filter(isProbe);
        expect(probes).to.have.length(1);
        expect(probes[0]?.progress.silent(), "goes elsewhere at once").to.equal(true);
    });

    // Symptom: after a fault of one second a target gets nothing for half a minute.
    // Sequence: ten requests are under way when it is ejected; they fail one after the other.
    // Cause: each of them counts as a failed probe and doubles the back-off.
    it("does not lengthen an ejection for requests that were sent before it", async () => {
        const harness = createZone(2);
        const under = Array.from({ length: 10 }, () => harness.pick(["hall-a-1"]));
        under.forEach((chosen) => chosen?.report(connectFailed));
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        harness.clock.freeze(1010);
        expect((await harness.send(1)).get("hall-a-0")).to.equal(1);
    });

    // Symptom: a target breaks off every answer after its head, and keeps its share.
    // Sequence: each head is taken for an answer, and clears the failure before it.
    // Cause: what happens to an answer's body does not reach the choice.
    it("takes a target out that breaks off its answers", async () => {
        const harness = createZone(2);
        for (let count = 0; count < 3; count++) {
            const chosen = pickFor(harness, "hall-a-0");
            chosen.report(answered);
            chosen.progress.bodyEnded(false);
        }
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        expect((await harness.send(100)).get("hall-a-0")).to.equal(undefined);
    });

    it("forgets a silence when the request is answered, and keeps it when the request is lost", async () => {
        for (const [outcome, isTaken] of [[answered, true], [lost, false]] as const) {
            const harness = createZone(2);
            const hanging = pickFor(harness, "hall-a-0");
            hanging.progress.silent();
            hanging.report(outcome);
            expect((await harness.send(50)).has("hall-a-0")).to.equal(isTaken);
        }
    });
});
