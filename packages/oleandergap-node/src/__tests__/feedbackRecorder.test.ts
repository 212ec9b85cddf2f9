import { expect } from "chai";
import { createLogger } from "oleandergap-logger";
import { createManualClock } from "oleandergap-utils";
import { createFeedbackRecorder } from "../target/feedbackRecorder.js";

describe("createFeedbackRecorder", () => {
    it("keeps a limit until the response to a later request no longer names it", async () => {
        const clock = createManualClock();
        const limits: (number | undefined)[] = [];
        const { record } = createFeedbackRecorder({
            clock,
            logger: createLogger("test"),
            target: {},
            gate: { setRequestLimit: (limit) => limits.push(limit), countRecentRequests: () => 0 },
            onLeaving: () => undefined,
        });
        const earlierSentAt = clock.monotonic();
        await clock.advance(100);
        record({ requestLimit: 5, isLeaving: false }, clock.monotonic());
        record({ isLeaving: false }, earlierSentAt);
        expect(limits).to.deep.equal([5]);
        await clock.advance(100);
        record({ isLeaving: false }, clock.monotonic());
        expect(limits).to.deep.equal([5, undefined]);
    });
});
