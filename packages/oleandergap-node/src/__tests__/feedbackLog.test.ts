import { expect } from "chai";
import type { Logger } from "oleandergap-logger";
import { createManualClock } from "oleandergap-utils";
import { createFeedbackLog } from "../target/feedbackLog.js";

describe("createFeedbackLog", () => {
    it("writes a line for each change of the limit, one per period while it holds, and one when the target leaves", async () => {
        const clock = createManualClock();
        const lines: unknown[] = [];
        const logger = { info: (message: string, context: object) => lines.push({ message, ...context }) };
        const log = createFeedbackLog({
            clock, logger: logger as unknown as Logger, target: { instance: "i-1" }, countRecentRequests: () => 7,
        });
        log.recordLimit(undefined);
        for (let second = 0; second < 6; second++) {
            log.recordLimit(2.5);
            await clock.advance(1000);
        }
        log.recordLimit(undefined);
        log.recordDeparture();
        log.recordDeparture();

        const target = { instance: "i-1" };
        expect(lines).to.deep.equal([
            { message: "The target names a request limit.", ...target, requestLimit: 2.5, sentLastSecond: 7 },
            { message: "Requests at a target that names a limit.", ...target, requestLimit: 2.5, sent: 7, periodMs: 4000 },
            { message: "The target no longer names a request limit.", ...target, requestLimit: undefined, sentLastSecond: 7 },
            { message: "The target states in its responses that it is leaving.", ...target },
        ]);
    });
});
