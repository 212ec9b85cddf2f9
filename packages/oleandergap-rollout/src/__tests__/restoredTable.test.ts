import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createMemoryTableService, type MemoryTableService, type TableSnapshot } from "oleandergap-platform";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createRolloutRows } from "../decision/rolloutRows.js";
import type { Rollout, RolloutState } from "../rollout.js";
import type { Rollouts } from "../rollouts.js";
import { createIsolatedRollouts } from "../testing/isolatedRollouts.js";
import { createOrder } from "./support.js";

const STATES: readonly RolloutState[] = ["running", "promoting", "completed", "rolledBack"];
const ORDER = createOrder({ durationMs: 600_000 });
/** Longer than the time over which nodes spread their writes after a restore. */
const WRITE_WAIT_MS = 500;

describe("the rows of roll-outs after a restore of the platform's table", () => {
    let table: MemoryTableService;
    let clock: ManualClock;
    let rollouts: Rollouts<string>;

    beforeEach(() => {
        table = createMemoryTableService();
        clock = createManualClock();
        rollouts = createIsolatedRollouts<string>({ clock, tableService: table });
    });

    const loadRows = async (): Promise<readonly Rollout[]> => {
        const rows = createRolloutRows({ tableService: table, clock, signal: new AbortController().signal });
        const loaded = await rows.load();
        return either.isRight(loaded) ? loaded.right : [];
    };
    const receive = (state: RolloutState, order = ORDER): void => rollouts.receive("peer", {
        kind: "Rollouts",
        rollouts: [{ order, ageMs: 2000, state, stateAgeMs: 1000, reason: "received" }],
    });
    const advance = async (): Promise<void> => {
        for (let elapsed = 0; elapsed < WRITE_WAIT_MS; elapsed += 50) {
            await clock.advance(50);
            await new Promise((resolve) => setImmediate(resolve));
        }
    };

    /** Restores the table and lets the node write what is missing. Returns the row of the roll-out. */
    const restore = async (copy: TableSnapshot): Promise<Rollout | undefined> => {
        table.state.restore(copy);
        rollouts.handleRestore();
        await advance();
        return (await loadRows())[0];
    };

    for (const state of STATES) {
        it(`are written again when the copy has no row and the roll-out is ${state}`, async () => {
            const snapshot = table.state.takeSnapshot();
            receive(state);
            await advance();
            expect(await restore(snapshot)).to.deep.include({ order: ORDER, state });
        });

        it(`are written again when the copy has an earlier state and the roll-out is ${state}`, async () => {
            receive("running");
            await advance();
            const snapshot = table.state.takeSnapshot();
            receive(state);
            await advance();
            expect(await restore(snapshot)).to.deep.include({ order: ORDER, state });
        });
    }

    it("are not replaced by the state of an earlier order", async () => {
        receive("completed");
        const later = createOrder({ id: "order-2", version: "v3", durationMs: 600_000 });
        const other = createIsolatedRollouts<string>({ clock, tableService: table });
        await clock.advance(1000);
        other.submit(later);
        await advance();
        expect((await restore(table.state.takeSnapshot()))?.order).to.deep.equal(later);
        expect(rollouts.list()[0]?.rollout.order).to.deep.equal(later);
    });
});
