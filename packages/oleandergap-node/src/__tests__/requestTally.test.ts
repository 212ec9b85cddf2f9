import { expect } from "chai";
import type { LogContext, Logger } from "oleandergap-logger";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createRequestTally, type EndedRequest, type RequestTally } from "../admin/requestTally.js";

const answered: EndedRequest = { at: "gate", kind: "lodge", end: "2xx", isFailure: false, durationMs: 80 };
const refused: EndedRequest = { at: "gate", kind: "view", end: "QueueFull", isFailure: true, durationMs: 3 };

describe("createRequestTally", () => {
    interface Setup {
        readonly clock: ManualClock;
        readonly lines: LogContext[];
        readonly tally: RequestTally;
        readonly controller: AbortController;
    }

    const setUp = (): Setup => {
        const clock = createManualClock();
        const lines: LogContext[] = [];
        const ignore = (): void => undefined;
        const logger: Logger = {
            debug: ignore, warn: ignore, error: ignore, info: (_message, context = {}) => lines.push(context),
        };
        const load = { inFlight: 4, queued: 2, capacity: 4, expectedWaitMs: 0 };
        const controller = new AbortController();
        const tally = createRequestTally({
            clock, logger, load: () => load, readProcessLoad: () => ({ busyShare: 0.987, cpuMs: 512.4 }),
        });
        tally.start(controller.signal);
        return { clock, lines, tally, controller };
    };

    it("writes one summary per second and point with failed requests, regardless of their number", async () => {
        const { clock, lines, tally, controller } = setUp();
        for (let count = 0; count < 1000; count++) {
            tally.note(refused);
        }
        tally.note(answered);
        await clock.advance(1000);
        expect(lines).to.deep.equal([{
            at: "gate", ends: "view QueueFull 1000x3ms, lodge 2xx 1x80ms", uncounted: 0,
            gate: "4 running of 4, 2 queued", busyShare: 0.99, cpuMs: 512,
        }]);
        controller.abort();
    });

    it("writes no line for a second without failures, and resets the counts every second", async () => {
        const { clock, lines, tally, controller } = setUp();
        tally.note(answered);
        await clock.advance(1000);
        expect(lines).to.deep.equal([]);
        tally.note(refused);
        await clock.advance(2000);
        expect(lines.map(({ ends }) => ends)).to.deep.equal(["view QueueFull 1x3ms"]);
        controller.abort();
    });

    it("limits the number of ends that it counts and writes", async () => {
        const { clock, lines, tally, controller } = setUp();
        for (let count = 0; count < 2000; count++) {
            tally.note({ ...refused, kind: `kind-${count}` });
        }
        await clock.advance(1000);
        expect(lines.map(({ uncounted }) => uncounted)).to.deep.equal([2000 - 512]);
        expect(String(lines[0]?.["ends"]).split(", ")).to.have.length(24);
        controller.abort();
    });
});
