import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { RefusalReason } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import { createPriorityFloor, type PriorityFloor } from "../priorityFloor.js";
import type { Decision } from "../refusals.js";

const served: Decision = either.right({ queuedMs: 0, release: () => undefined });

const refuse = (reason: RefusalReason): Decision =>
    either.left({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 1 });

/** Records a hundred requests of a priority, of which a share is served. */
const record = (
    floor: PriorityFloor,
    priority: number,
    servedShare: number,
    reason: RefusalReason = "DeadlineTooShort",
): void => {
    for (let count = 0; count < 100; count++) {
        const decision = count < 100 * servedShare ? served : refuse(reason);
        floor.recordDecision({ priority }, { offeredPriority: priority, workMs: 100, decision });
    }
};

describe("createPriorityFloor", () => {
    it("keeps the priorities while less urgent requests are served half as often as urgent ones", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 0, 0.5);
        record(floor, 1, 0.26);
        expect(floor.choosePriority({ priority: 1 })).to.equal(1);
        expect(floor.choosePriority({ priority: 0 })).to.equal(0);
    });

    it("keeps the priorities while a third of the less urgent requests is served", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 0, 1);
        record(floor, 1, 0.34);
        expect(floor.choosePriority({ priority: 1 })).to.equal(1);
    });

    it("promotes requests to the most urgent priority that is served more than twice as often", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 0, 0.1);
        record(floor, 1, 0.6);
        record(floor, 2, 0.08);
        expect(floor.choosePriority({ priority: 2 })).to.equal(1);
        expect(floor.choosePriority({ priority: 0 })).to.equal(0);
    });

    it("does not promote requests that are refused for a reason other than capacity", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 0, 1);
        record(floor, 1, 0, "Cancelled");
        expect(floor.choosePriority({ priority: 1 })).to.equal(1);
    });

    it("promotes no request once promoted ones are an eighth of the work", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 0, 1);
        record(floor, 1, 0);
        let promotedWork = 0;
        while (floor.choosePriority({ priority: 1 }) === 0) {
            floor.recordDecision({ priority: 1 }, { offeredPriority: 0, workMs: 300, decision: served });
            promotedWork += 300;
        }
        expect(promotedWork / (promotedWork + 100 * 100)).to.be.within(0.125, 0.16);
    });

    it("counts the requests of each priority for operators", () => {
        const floor = createPriorityFloor(createManualClock());
        record(floor, 1, 0);
        record(floor, 0, 1);
        floor.choosePriority({ priority: 1 });
        expect(floor.listCounts()).to.deep.equal([
            { priority: 0, served: 100, refused: 0, promoted: 0 },
            { priority: 1, served: 0, refused: 100, promoted: 1 },
        ]);
    });

    it("forgets requests that were decided long ago", async () => {
        const clock = createManualClock();
        const floor = createPriorityFloor(clock);
        record(floor, 0, 1);
        record(floor, 1, 0);
        expect(floor.choosePriority({ priority: 1 })).to.equal(0);
        await clock.advance(20_000);
        expect(floor.choosePriority({ priority: 1 })).to.equal(1);
    });
});
