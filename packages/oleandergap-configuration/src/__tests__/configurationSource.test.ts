import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { noFault } from "oleandergap-platform";
import type { PlatformError } from "oleandergap-types";
import { createConfigurationSource, DELTAS_PER_PAGE } from "../platform/configurationSource.js";
import { formatDeltaKey, formatHeadKey } from "../platform/layout.js";
import { createTestPlatform, neverAborted, type TestPlatform } from "./changeSupport.js";
import { buildChain } from "./support.js";

const PAGE_COUNT = 3;

/** Stores a chain of deltas whose head row refers to a missing snapshot. */
const storeChainWithoutSnapshot = (platform: TestPlatform): ReturnType<typeof buildChain> => {
    const chain = buildChain("halloway", Array.from({ length: PAGE_COUNT * DELTAS_PER_PAGE - 1 }, (_, number) =>
        [{ cell: "services/desk/weights/east", after: number % 1000 }]));
    const last = chain.documents.at(-1);
    for (const delta of chain.deltas) {
        const key = formatDeltaKey("halloway", delta.sequence);
        platform.tableService.state.transact([{ kind: "Put", key, condition: { kind: "Any" }, value: delta }]);
    }
    const value = { sequence: last?.sequence, digest: last?.digest, snapshotSequence: 32, snapshotDigest: "1".repeat(64) };
    platform.tableService.state.transact([
        { kind: "Put", key: formatHeadKey("halloway"), condition: { kind: "Any" }, value },
    ]);
    return chain;
};

describe("createConfigurationSource", () => {
    it("reads all heads with one call and omits only a partner with a damaged row", async () => {
        let reads = 0;
        const platform = createTestPlatform({
            decideFault: () => {
                reads += 1;
                return noFault;
            },
        });
        const chain = storeChainWithoutSnapshot(platform);
        platform.tableService.state.transact([
            { kind: "Put", key: formatHeadKey("kushiro"), condition: { kind: "Any" }, value: { sequence: -1 } },
        ]);
        const heads = await createConfigurationSource(platform).readHeads(["kushiro", "halloway", "new"], neverAborted)();
        expect(either.isRight(heads) && heads.right.map((head) => [head.partner, head.sequence]))
            .to.deep.equal([["halloway", chain.deltas.length], ["new", 0]]);
        expect(reads).to.equal(1);
    });

    for (const body of [undefined, "{\"half\":", "{}"]) {
        it(`replays all deltas when the snapshot is ${body ?? "missing"}`, async () => {
            const platform = createTestPlatform();
            const chain = storeChainWithoutSnapshot(platform);
            if (body !== undefined) {
                platform.objectStore.objects.set(`config/halloway/snapshot/000000000032-${"1".repeat(64)}`, Buffer.from(body));
            }
            const document = await createConfigurationSource(platform).readDocument("halloway", neverAborted)();
            expect(document).to.deep.equal(either.right(chain.documents.at(-1)));
        });
    }

    // Guards against a replay of deltas that never ends. The read budget interrupts the replay of a long chain each
    // time; if each replay started from the beginning, it would read the same pages forever.
    it("resumes a replay where the read budget interrupted it", async () => {
        const platform = createTestPlatform();
        const chain = storeChainWithoutSnapshot(platform);
        let allowedScans = 0;
        const overBudget: PlatformError = { kind: "OverBudget", retryAfterMs: 10 };
        const source = createConfigurationSource({
            ...platform,
            tableService: {
                ...platform.tableService,
                scan: (scan, signal) => async () => {
                    allowedScans -= 1;
                    return allowedScans < 0 ? either.left(overBudget) : platform.tableService.scan(scan, signal)();
                },
            },
        });
        for (let page = 1; page < PAGE_COUNT; page++) {
            allowedScans = 1;
            expect(await source.readDocument("halloway", neverAborted)()).to.deep.equal(either.left(overBudget));
        }
        allowedScans = 1;
        expect(await source.readDocument("halloway", neverAborted)()).to.deep.equal(either.right(chain.documents.at(-1)));
    });
});
