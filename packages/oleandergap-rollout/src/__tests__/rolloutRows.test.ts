import * as either from "fp-ts/lib/Either.js";
import { expect } from "chai";
import { createMemoryTableService, noFault, type PlatformFault } from "oleandergap-platform";
import type { TableOperation, TableService } from "oleandergap-types";
import { createManualClock, createSeededRandom, pickIndex, type Random } from "oleandergap-utils";
import { createRolloutRows, type CommitResult } from "../decision/rolloutRows.js";
import { isFinal, type Rollout, type RolloutState } from "../rollout.js";
import { createOrder, createRollout } from "./support.js";

const SCHEDULES = 1000;
const STATES: readonly RolloutState[] = ["running", "promoting", "completed", "rolledBack"];

/** Draws the fault of a call: most calls succeed, some are refused, lose their answer or take effect late. */
const drawFault = (random: Random): PlatformFault => {
    const faults: readonly PlatformFault[] = [
        noFault, noFault, noFault, { kind: "Outage" }, { kind: "AnswerLost" }, { kind: "Late" },
    ];
    return faults[pickIndex(random, faults.length)] ?? noFault;
};

const waitTurns = async (turns: number): Promise<void> => {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise<void>((resolve) => setImmediate(resolve));
    }
};

/** Removes the conditions of writes, like a version that writes what it has decided without reading. */
const withoutConditions = (tableService: TableService): TableService => ({
    ...tableService,
    transact: (operations, signal) => tableService.transact(
        operations.map((operation): TableOperation => ({ ...operation, condition: { kind: "Any" } })),
        signal,
    ),
});

interface ScheduleResult {
    /** Final states that any node has read from the table, in order. */
    readonly finals: readonly RolloutState[];
    /** State in the table after all late writes. */
    readonly last: RolloutState | undefined;
}

/** Lets four nodes commit different states at the same time, with faults of the platform drawn from the seed. */
const playSchedule = async (
    seed: number,
    wrap: (tableService: TableService) => TableService,
): Promise<ScheduleResult> => {
    const random = createSeededRandom(seed);
    const wait = (): Promise<void> => waitTurns(pickIndex(random, 4));
    const table = createMemoryTableService({
        decideFault: () => drawFault(random),
        waitBefore: wait,
        waitAfter: wait,
        waitLate: () => waitTurns(pickIndex(random, 12)),
    });
    const clock = createManualClock();
    const { signal } = new AbortController();
    const finals: RolloutState[] = [];
    const runNode = async (): Promise<void> => {
        const rows = createRolloutRows({ tableService: wrap(table), clock, signal });
        for (let attempt = 0; attempt < 6; attempt++) {
            const state = STATES[pickIndex(random, STATES.length)] ?? "running";
            const result: CommitResult = await rows.commit(createRollout({ state }));
            if (result.kind === "Committed" && isFinal(result.rollout.state)) {
                finals.push(result.rollout.state);
            }
            await wait();
        }
    };
    await Promise.all([runNode(), runNode(), runNode(), runNode()]);
    await waitTurns(15);
    const reader = createRolloutRows({ tableService: createReader(table), clock, signal });
    const loaded = await reader.load();
    return { finals, last: either.isRight(loaded) ? loaded.right[0]?.state : undefined };
};

/** Reads the rows without injected faults. */
const createReader = ({ state }: ReturnType<typeof createMemoryTableService>): TableService => {
    const undisturbed = createMemoryTableService();
    return { ...undisturbed, scan: (scan) => async () => either.right(state.scan(scan)) };
};

const isConsistent = ({ finals, last }: ScheduleResult): boolean =>
    new Set([...finals, ...finals.length > 0 ? [last] : []]).size <= 1;

describe("the row of a roll-out", () => {
    it("never gives two nodes different outcomes, whatever writes are lost or late", async () => {
        for (let seed = 1; seed <= SCHEDULES; seed++) {
            const result = await playSchedule(seed, (table) => table);
            expect(isConsistent(result), `seed ${seed}: ${JSON.stringify(result)}`).to.equal(true);
        }
    }).timeout(60_000);

    it("without conditions gives different outcomes in some schedules", async () => {
        let inconsistent = 0;
        for (let seed = 1; seed <= 50; seed++) {
            inconsistent += isConsistent(await playSchedule(seed, withoutConditions)) ? 0 : 1;
        }
        expect(inconsistent).to.be.greaterThan(0);
    }).timeout(60_000);

    it("replaces the row of an earlier order, and not that of a later one", async () => {
        const table = createMemoryTableService();
        const { signal } = new AbortController();
        const rows = createRolloutRows({ tableService: table, clock: createManualClock(), signal });
        const later: Rollout = createRollout({ order: createOrder({ id: "order-2" }), orderedAt: 500 });
        await rows.commit(createRollout({ state: "completed", orderedAt: 100 }));
        expect(await rows.commit(later)).to.deep.include({ kind: "Committed" });
        const result = await rows.commit(createRollout({ state: "rolledBack", orderedAt: 100 }));
        expect(result.kind === "Committed" ? result.rollout.order.id : result).to.equal("order-2");
    });
});
