import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { claimOptionsSchema, createClaimSweeper, formatClaimRowKey, type ClaimRow } from "../index.js";
import { createMemoryTable } from "../measure/memoryTable.js";
import { SIMULATED_SERVICE } from "../measure/simulatedNode.js";
import { silentLogger } from "./support/silentLogger.js";

const HOUR = 3_600_000;
const base = { attemptId: "a", nodeId: "node-1", bootId: "0", fingerprint: "same", claimedAt: 0 };
const answer = { status: 200, headers: [] };

describe("createClaimSweeper", () => {
    // Guards against a key that runs twice: the holder is frozen after its claim, the row is deleted because of its
    // age, a repeated request claims the key again, and the holder resumes and sends its request. The age of a row does
    // not show that its holder has ended.
    it("deletes settled rows after their retention time and rows without an outcome much later", async () => {
        const clock = createManualClock(0);
        const table = createMemoryTable(clock);
        const tableService = table.connect(clock, () => ({ kind: "Answered", delayMs: 0 }));
        const signal = new AbortController().signal;
        const rows: ClaimRow[] = [
            { ...base, state: "claimed" },
            { ...base, state: "finished", answer },
            { ...base, state: "released" },
            { ...base, state: "finished", answer, claimedAt: 30 * HOUR },
        ];
        const write = tableService.transact(rows.map((value, index) => ({
            kind: "Put",
            key: formatClaimRowKey(SIMULATED_SERVICE, `key-number-${index}`),
            condition: { kind: "Absent" },
            value,
        })), signal)();
        await clock.advance(1);
        await write;
        const sweeper = createClaimSweeper({
            tableService,
            clock,
            random: createSeededRandom(1),
            logger: silentLogger,
            options: claimOptionsSchema.parse({ sweepPageSize: 3 }),
            services: () => [SIMULATED_SERVICE],
        });
        const sweepAll = async (): Promise<readonly string[]> => {
            for (let page = 0; page < 2; page++) {
                const swept = sweeper.sweepPage(SIMULATED_SERVICE, signal);
                await clock.advance(1);
                await swept;
            }
            return table.rows().map(({ key }) => key.slice(-1));
        };
        await clock.advance(23 * HOUR);
        expect(await sweepAll()).to.have.members(["0", "1", "2", "3"]);
        await clock.advance(2 * HOUR);
        expect(await sweepAll()).to.have.members(["0", "3"]);
        await clock.advance(8 * 24 * HOUR);
        expect(await sweepAll()).to.have.members([]);
    });
});
