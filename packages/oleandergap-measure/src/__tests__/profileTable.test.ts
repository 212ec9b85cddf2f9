import { expect } from "chai";
import { formatProfileTable, parseProfileLine, type ProfileLine } from "../profile/profileTable.js";

const formatLogLine = (membership: number): string => JSON.stringify({
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

const parseAll = (texts: readonly string[]): readonly ProfileLine[] =>
    texts.map(parseProfileLine).filter((line) => line !== undefined);

describe("formatProfileTable", () => {
    it("sums the lines of all nodes and ignores any text before them", () => {
        const table = formatProfileTable(parseAll([
            `   1.2000 node-a ${formatLogLine(30)}`,
            formatLogLine(10),
            "node-b {\"context\":{},\"message\":\"another matter\"}",
            `${formatLogLine(10).slice(0, 80)}`,
        ]));
        expect(table).to.contain("2 lines, 4 s of node time: 25.0 ms/s of CPU time, 50.0 wake-ups/s, 30.0 reads/s");
        expect(table).to.contain("| membership | 10.00 | 66.7% |");
        expect(table).to.contain("| garbage collection | 5.00 | 33.3% |");
        expect(table).to.contain("| poll src/prober.ts | 10.00 | 100.0% |");
    });

    it("names the setting to enable if no line reports CPU time", () => {
        expect(formatProfileTable([])).to.contain("diagnostics.processorProfileMs");
    });
});
