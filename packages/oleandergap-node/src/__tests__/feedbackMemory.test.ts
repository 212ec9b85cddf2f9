import { expect } from "chai";
import fastCheck from "fast-check";
import { createManualClock } from "oleandergap-utils";
import type { LifetimeFeedback } from "oleandergap-types";
import { createFeedbackMemory } from "../gateway/feedbackMemory.js";
import { formatFeedback, parseFeedback } from "../http/feedbackHeader.js";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    sendHttpRequest,
    startGate,
    startTarget,
    type GateHarness,
} from "./support.js";

const createFeedback = (
    feedback: Partial<LifetimeFeedback["feedback"]>,
    bornAt: number | undefined = 5,
): LifetimeFeedback => ({ instanceId: "i-1", bornAt, feedback: { isLeaving: false, ...feedback } });

describe("the header with what a target states", () => {
    it("keeps every lifetime and statement", () => {
        fastCheck.assert(fastCheck.property(
            fastCheck.string({ minLength: 1, maxLength: 64, unit: "binary" }),
            fastCheck.option(fastCheck.nat(), { nil: undefined }),
            fastCheck.option(fastCheck.nat({ max: 10_000_000 }), { nil: undefined }),
            fastCheck.boolean(),
            (instanceId, bornAt, hundredths, isLeaving) => {
                const requestLimit = hundredths === undefined ? undefined : hundredths / 100;
                const reported = { instanceId, bornAt, feedback: { requestLimit, isLeaving } };
                const parsed = parseFeedback(formatFeedback(reported));
                expect(parsed?.instanceId).to.equal(instanceId);
                expect(parsed?.bornAt).to.equal(bornAt);
                expect(parsed?.feedback).to.deep.equal({ requestLimit, isLeaving });
            },
        ));
    });

    it("keeps a departure beside a limit that is too small to be written without an exponent", () => {
        const reported = createFeedback({ requestLimit: 1e-9, isLeaving: true });
        expect(parseFeedback(formatFeedback(reported))?.feedback).to.deep.equal({ requestLimit: 0, isLeaving: true });
    });

    it("ignores a malformed value", () => {
        for (const text of [undefined, "", "1,yes", "1,maybe,5,i-1", "1,yes,5,%E0", "x,yes,5,aS0x"]) {
            expect(parseFeedback(text), text).to.equal(undefined);
        }
    });
});

describe("createFeedbackMemory", () => {
    it("keeps a departure until the node reports another lifetime", () => {
        const memory = createFeedbackMemory();
        memory.record("a", createFeedback({ isLeaving: true }), true);
        memory.record("a", undefined, true);
        memory.record("a", undefined, false);
        memory.record("a", createFeedback({ requestLimit: 3 }), true);
        expect(memory.find("a")?.feedback).to.deep.equal({ isLeaving: true, requestLimit: 3 });
        memory.record("a", createFeedback({ requestLimit: 4 }, 6), true);
        expect(memory.find("a")).to.deep.equal(createFeedback({ requestLimit: 4 }, 6));
    });

    it("keeps a limit when the gate refuses, and forgets it when the target responds without one", () => {
        const memory = createFeedbackMemory();
        memory.record("a", createFeedback({ requestLimit: 3 }), true);
        memory.record("a", undefined, false);
        expect(memory.find("a")?.feedback.requestLimit).to.equal(3);
        memory.record("a", undefined, true);
        expect(memory.find("a")).to.equal(undefined);
    });
});

describe("a gate that other nodes remind of what its target has stated", () => {
    const cleanup = createCleanup();
    let gate: GateHarness;
    let runs: number;

    beforeEach(async () => {
        runs = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs += 1;
            response.setHeader("oleandergap-target-limit", "2");
            response.end();
        });
        gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target, { instanceId: "i-1", bornAt: 5 }));
    });
    afterEach(() => cleanup.run());

    const send = async (feedback: LifetimeFeedback | undefined): ReturnType<typeof sendHttpRequest> => {
        const reminder = feedback === undefined ? {} : { "oleandergap-target-feedback": formatFeedback(feedback) };
        return sendHttpRequest({ port: gate.port, headers: createGateHeaders(reminder) });
    };

    it("refuses at once if the target of that lifetime leaves, and tells the next caller so", async () => {
        const first = await send(createFeedback({ isLeaving: true }));
        const second = await send(undefined);
        for (const { headers } of [first, second]) {
            expect(headers).to.include({ "oleandergap-verdict": "notRun", "oleandergap-reason": "Draining" });
            expect(headers["oleandergap-target-feedback"]).to.equal("-,yes,5,aS0x");
        }
        expect(runs).to.equal(0);
        expect(gate.published.at(-1)).to.include({ leaving: true });
    });

    it("reports what its target states in a response", async () => {
        const { headers } = await send(undefined);
        expect(headers).to.include({ "oleandergap-verdict": "ran", "oleandergap-target-feedback": "2.000000,no,5,aS0x" });
        expect(headers).not.to.have.property("oleandergap-target-limit");
    });

    it("ignores a reminder about a former lifetime", async () => {
        expect(await send(createFeedback({ isLeaving: true }, 4))).to.include({ statusCode: 200 });
    });

    it("keeps a limit that it is reminded of, until the target's own responses say otherwise", async () => {
        expect(gate.targetManager.current()?.feedback.current()).to.equal(undefined);
        void send(createFeedback({ requestLimit: 1 })).catch(() => undefined);
        while (gate.targetManager.current()?.feedback.current() === undefined) {
            await new Promise((resolve) => setTimeout(resolve, 1));
        }
        expect(gate.targetManager.current()?.feedback.current()).to.deep.equal({ requestLimit: 1, isLeaving: false });
        gate.targetManager.current()?.feedback.record({ requestLimit: 2, isLeaving: false }, 0);
        gate.targetManager.current()?.feedback.adopt({ requestLimit: 1, isLeaving: false });
        expect(gate.targetManager.current()?.feedback.current()?.requestLimit).to.equal(2);
    });
});
