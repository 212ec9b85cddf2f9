import { expect } from "chai";
import { startTargetStandIn, type Caller, type TargetStandIn } from "oleandergap-standins";
import { createManualClock } from "oleandergap-utils";
import { createNaiveCaller, MAX_RETRIES } from "../naive/naiveCaller.js";
import { createMeasuredRead, createUnkeyedPost, measuredService } from "../requests/serviceFleet.js";

const TIMEOUT_MS = 5000;
const gateway = { address: "127.0.0.1", port: 1 };

const startTarget = (id: string): Promise<TargetStandIn> =>
    startTargetStandIn({ ...measuredService, id, serviceTime: { medianMs: 0, spread: 0 } });

describe("createNaiveCaller", () => {
    let targets: readonly TargetStandIn[] = [];
    let caller: Caller;

    beforeEach(async () => {
        targets = [await startTarget("one"), await startTarget("two")];
        caller = createNaiveCaller({
            clock: createManualClock(),
            targets: targets.map((target) => ({
                ...measuredService, id: target.options.id, address: target.address, port: target.port,
                counters: target.counters(),
            })),
            signal: new AbortController().signal,
        });
    });

    afterEach(async () => {
        await caller.close();
        await Promise.all(targets.map((target) => target.crash()));
    });

    it("sends requests to the targets in round-robin order", async () => {
        for (let index = 0; index < 4; index++) {
            const result = await caller.call(gateway, createMeasuredRead("turn", index, TIMEOUT_MS));
            expect(result.kind).to.equal("Answered");
        }
        expect(targets.map((target) => target.runLog.total())).to.deep.equal([2, 2]);
    });

    it("retries after every error up to three times, even if the request ran", async () => {
        targets.forEach((target) => target.setFaults({ cutAnswerShare: 1 }));

        const result = await caller.call(gateway, createUnkeyedPost("again", 0, TIMEOUT_MS));

        expect(result).to.include({ kind: "Failed", verdict: "mayHaveRun" });
        const runs = targets.reduce((sum, target) => sum + target.runLog.countRuns("again-0"), 0);
        expect(runs).to.equal(1 + MAX_RETRIES);
    });
});
