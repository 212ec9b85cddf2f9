import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createCallerDiversion, type CallerDiversion, type LoadReading } from "../overload/callerDiversion.js";

const PERIOD_MS = 500;
const SATURATED: LoadReading = { busyShare: 1, peersBusyShare: 0.6, nodeRequests: 200, callerRequests: 40 };

describe("createCallerDiversion", () => {
    let clock: ManualClock;
    let diversion: CallerDiversion;

    beforeEach(() => {
        clock = createManualClock();
        diversion = createCallerDiversion(clock);
    });

    const recordFor = async (reading: Partial<LoadReading>, durationMs: number): Promise<void> => {
        for (let elapsed = 0; elapsed < durationMs; elapsed += PERIOD_MS) {
            await clock.advance(PERIOD_MS);
            diversion.record({ ...SATURATED, ...reading });
        }
    };

    // Guards against a target that is idle because the only node beside one serves its own callers too.
    it("sends callers away from a node that other nodes need, while those have room", async () => {
        await recordFor({}, PERIOD_MS);
        expect(diversion.isDiverting()).to.equal(true);
    });

    const keepingCases: readonly (readonly [title: string, reading: Partial<LoadReading>])[] = [
        ["has CPU time left", { busyShare: 0.9 }],
        ["serves its own callers for the most part", { nodeRequests: 79 }],
        ["is as busy as the others", { peersBusyShare: 0.9 }],
        ["does not know the load of others", { peersBusyShare: undefined }],
    ];
    for (const [title, reading] of keepingCases) {
        it(`keeps the callers of a node that ${title}`, async () => {
            await recordFor(reading, 10_000);
            expect(diversion.isDiverting()).to.equal(false);
        });
    }

    it("lets callers come back only when the node has room for them, and not at once", async () => {
        await recordFor({}, PERIOD_MS);
        await recordFor({ busyShare: 0.6, callerRequests: 0 }, 2000);
        expect(diversion.isDiverting()).to.equal(true);
        await recordFor({ busyShare: 0.9, callerRequests: 0 }, 10_000);
        expect(diversion.isDiverting()).to.equal(true);
        await recordFor({ busyShare: 0.6, callerRequests: 0 }, PERIOD_MS);
        expect(diversion.isDiverting()).to.equal(false);
    });

    // Guards against callers that press on nodes that are saturated as well.
    it("lets callers come back when the other nodes are saturated, or none is known any more", async () => {
        for (const peersBusyShare of [0.97, undefined]) {
            await recordFor({}, 4000);
            expect(diversion.isDiverting()).to.equal(true);
            await recordFor({ peersBusyShare }, PERIOD_MS);
            expect(diversion.isDiverting()).to.equal(false);
            await recordFor({ busyShare: 0.5 }, 4000);
        }
    });
});
