import { expect } from "chai";
import type { Logger } from "oleandergap-logger";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { describeReadiness } from "../admin/readiness.js";
import { createOverloadMonitor, type OverloadMonitor } from "../overload/overloadMonitor.js";

describe("createOverloadMonitor", () => {
    let clock: ManualClock;
    let lines: string[];
    let busyShare: number;
    let monitor: OverloadMonitor;
    let controller: AbortController;

    beforeEach(() => {
        clock = createManualClock();
        lines = [];
        busyShare = 0.634;
        controller = new AbortController();
        const ignore = (): void => undefined;
        const logger: Logger = { debug: ignore, warn: ignore, error: ignore, info: (message) => lines.push(message) };
        monitor = createOverloadMonitor({
            clock, backgroundClock: clock, logger, readProcessLoad: () => ({ busyShare, cpuMs: 100 }),
        });
        monitor.start(controller.signal);
    });

    afterEach(() => controller.abort());

    const receiveRequests = (report: string | undefined): void => {
        monitor.recordReport(report);
        for (let index = 0; index < 10; index++) {
            monitor.recordRequest("Node");
        }
        monitor.recordRequest("Caller");
    };

    it("reports the load to each node with some requests only", async () => {
        await clock.advance(500);
        expect(monitor.describeLoad("a")).to.equal("63");
        expect(monitor.describeLoad("a")).to.equal(undefined);
        expect(monitor.describeLoad("b")).to.equal("63");
        await clock.advance(250);
        expect(monitor.describeLoad("a")).to.equal("63");
    });

    it("diverts callers by what other nodes report, and logs the change", async () => {
        busyShare = 1;
        receiveRequests("40");
        await clock.advance(500);
        expect(monitor.isDiverting()).to.equal(true);
        receiveRequests("100");
        receiveRequests("100");
        await clock.advance(4000);
        expect(monitor.isDiverting()).to.equal(false);
        expect(lines).to.deep.equal(["Callers should use other nodes.", "Callers may use this node again."]);
    });

    it("ignores reports of another form", async () => {
        busyShare = 1;
        for (const report of [undefined, "", "-1", "0.4", "4e1", "1000"]) {
            receiveRequests(report);
        }
        await clock.advance(500);
        expect(monitor.isDiverting()).to.equal(false);
    });

    it("forgets old reports", async () => {
        receiveRequests("40");
        await clock.advance(5000);
        busyShare = 1;
        receiveRequests(undefined);
        await clock.advance(500);
        expect(monitor.isDiverting()).to.equal(false);
    });
});

describe("describeReadiness of a node whose callers should use other nodes", () => {
    it("names the reason", () => {
        const state = { listening: true, recovered: true, draining: false, refusing: false, endsAt: undefined };
        expect(describeReadiness(state).ready).to.equal(true);
        expect(describeReadiness(state, true)).to.deep.equal({
            ready: false, reasons: ["the target needs all of the node's CPU time"],
        });
    });
});
