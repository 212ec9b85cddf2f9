import { expect } from "chai";
import type { LogContext, Logger } from "oleandergap-logger";
import type { Head } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import { createArrivalLog } from "../arrivalLog.js";

interface LogLine {
    readonly message: string;
    readonly context: LogContext;
}

const createRecordingLogger = (lines: LogLine[]): Logger => {
    const write = (message: string, context: LogContext = {}): void => {
        lines.push({ message, context });
    };
    return { debug: write, info: write, warn: write, error: write };
};

const createHead = (sequence: number): Head => ({ partner: "halloway", sequence, digest: "00" });

describe("createArrivalLog", () => {
    it("logs how a version arrived and how long after its first claim", async () => {
        const lines: LogLine[] = [];
        const clock = createManualClock();
        const arrivalLog = createArrivalLog({ clock, logger: createRecordingLogger(lines) });
        arrivalLog.recordClaim(createHead(4));
        await clock.advance(300);
        arrivalLog.recordClaim(createHead(4));
        arrivalLog.recordClaim(createHead(6));
        arrivalLog.recordRequest("halloway");
        arrivalLog.recordRequest("halloway");
        await clock.advance(500);
        arrivalLog.offerFrom({ way: "document", peer: "node-2" }, () => arrivalLog.recordApplied(createHead(4), 8));
        arrivalLog.recordApplied(createHead(6), undefined);
        expect(lines.map(({ context }) => ({ ...context, digest: "00" }))).to.deep.equal([
            { ...createHead(4), way: "document", peer: "node-2", cells: 8, questions: 2, sinceHeardMs: 800, checkMs: 0 },
            { ...createHead(6), way: "local", peer: undefined, cells: undefined, questions: 0, sinceHeardMs: 500, checkMs: 0 },
        ]);
    });

    it("limits the log lines about failed pulls and counts the suppressed ones", async () => {
        const lines: LogLine[] = [];
        const clock = createManualClock();
        const arrivalLog = createArrivalLog({ clock, logger: createRecordingLogger(lines) });
        const fail = (): void => arrivalLog.recordFailedPull({
            partner: "halloway",
            source: "node-3",
            reason: "NoAnswer: TimedOut",
            durationMs: 1_000,
        });
        Array.from({ length: 40 }).forEach(fail);
        expect(lines.length).to.equal(10);
        await clock.advance(1_000);
        fail();
        expect(lines.at(-1)?.context["leftOut"]).to.equal(30);
    });
});
