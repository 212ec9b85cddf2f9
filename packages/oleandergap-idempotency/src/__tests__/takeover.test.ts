import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { createBatchWriter } from "../claim/batchWriter.js";
import { createMemoryTable } from "../measure/memoryTable.js";
import { createTakeover } from "../ownership/takeover.js";
import { formatLeaseKey, type LeaseRow, type PartitionRow } from "../ownership/ownershipRows.js";

describe("createTakeover", () => {
    // Guards against two owners that accept the same key: the new owner reads the lease row, the holder renews it, and
    // the new owner fences it with the old ceiling. Fencing must be conditional on the version that was read.
    it("does not fence a lease that was renewed after it was read", async () => {
        const clock = createManualClock();
        const table = createMemoryTable(clock);
        const signal = new AbortController().signal;
        const tableService = table.connect(clock, () => ({ kind: "Answered", delayMs: 0 }));
        const options = { batchWindowMs: 0, maxBatchSize: 1, maxTransactionsInFlight: 1 };
        const writer = createBatchWriter({ tableService, clock, signal, options });
        const former = { nodeId: "node-1", bootId: "0.0" };
        const leaseKey = formatLeaseKey(former);
        const createLease = (ceiling: number): LeaseRow => ({ state: "active", ceiling });
        const partition: PartitionRow = { holder: former, unknownUpTo: 0, recordedUpTo: 0 };
        const renewed = [createLease(100), createLease(200)].map((value) =>
            writer.submit({ key: leaseKey, condition: { kind: "Any" }, value }));
        await clock.advance(1);
        await Promise.all(renewed);
        const takeover = createTakeover({
            reader: {
                read: async (key) => either.right(key === leaseKey ?
                    { key, version: { era: 0, version: 1 }, value: createLease(100) } :
                    { key, version: { era: 0, version: 1 }, value: partition }),
                calls: () => 0,
            },
            writer,
            clock,
            options: { takeoverWaitMs: 0 },
            createVacantRow: () => partition,
            isMember: () => false,
        });
        const step = takeover.inspect("owners/halloway/grant-filer/0", { nodeId: "node-2", bootId: "0.0" });
        await clock.advance(1);
        expect(await step).to.deep.equal({ kind: "Wait" });
        expect(table.get(leaseKey)?.value).to.deep.equal(createLease(200));
    });
});
