import { expect } from "chai";
import { startPlatformStandIn, type PlatformStandIn } from "oleandergap-standins";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { startNaivePolling, type NaiveAppliedVersion, type NaivePolling } from "../naive/naivePolling.js";

const INTERVAL_MS = 250;
const NODES = 3;

describe("startNaivePolling", () => {
    let platform: PlatformStandIn;
    let clock: ManualClock;
    let polling: NaivePolling;
    let appliedVersions: NaiveAppliedVersion[] = [];
    const abortController = new AbortController();

    const write = (key: string, value: unknown): void => {
        platform.state.table.transact([{ kind: "Put", key, condition: { kind: "Any" }, value }]);
    };

    const waitForAppliedVersions = async (count: number): Promise<void> => {
        while (appliedVersions.length < count) {
            await new Promise<void>((resolve) => setImmediate(resolve));
        }
    };

    beforeEach(async () => {
        appliedVersions = [];
        clock = createManualClock();
        platform = await startPlatformStandIn({}, { clock });
        write("config/halloway/delta/000000000001", { partner: "halloway", sequence: 1 });
        write("config/halloway/head", { sequence: 1 });
        polling = startNaivePolling({
            clock,
            platform: { address: platform.address, port: platform.port },
            nodes: NODES,
            partners: ["halloway", "kushiro"],
            intervalMs: INTERVAL_MS,
            signal: abortController.signal,
            onApplied: (appliedVersion) => appliedVersions.push(appliedVersion),
        });
    });

    afterEach(async () => {
        abortController.abort();
        await polling.finished;
        await platform.stop();
    });

    it("reads the heads once per node, and deltas only for a head that has changed", async () => {
        await waitForAppliedVersions(NODES);

        expect(appliedVersions.map(({ node, sequence }) => `${node}:${sequence}`))
            .to.have.members(["0:1", "1:1", "2:1"]);
        expect(polling.reads()).to.equal(2 * NODES);
        expect(platform.counters().reads).to.equal(2 * NODES);
        expect(polling.bytes()).to.be.greaterThan(0);
        expect(polling.failures()).to.equal(0);
    });
});
