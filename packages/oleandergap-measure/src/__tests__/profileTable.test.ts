import { expect } from "chai";
import { formatProfileTable, readProfileLine, type ProfileLine } from "../profile/profileTable.js";

const writeLine = (membership: number): string => JSON.stringify({
    context: {
        part: "profile",
        periodMs: 2000,
        processorMs: 50,
        wakeUps: 100,
        reads: 60,
        writes: 40,
        parts: JSON.stringify({ membership, "garbage collection": 10 }),
        functions: JSON.stringify({ "poll src/prober.ts": membership }),
    },
    message: "profile: Processor time by part.",
});

const readAll = (texts: readonly string[]): readonly ProfileLine[] =>
    texts.map(readProfileLine).filter((line) => line !== undefined);

describe("table of processor time", () => {
    it("adds the lines of all nodes up, whatever stands before them", () => {
        const table = formatProfileTable(readAll([
            `   1.2000 node-a ${writeLine(30)}`,
            writeLine(10),
            "node-b {\"context\":{},\"message\":\"another matter\"}",
            `${writeLine(10).slice(0, 80)}`,
        ]));
        expect(table).to.contain("2 lines, 4 s of nodes: 25.0 ms/s of processor time, 50.0 wake-ups/s, 30.0 reads/s");
        expect(table).to.contain("| membership | 10.00 | 66.7% |");
        expect(table).to.contain("| garbage collection | 5.00 | 33.3% |");
        expect(table).to.contain("| poll src/prober.ts | 10.00 | 100.0% |");
    });

    it("says what to set when no line tells of it", () => {
        expect(formatProfileTable([])).to.contain("diagnostics.processorProfileMs");
    });
});
