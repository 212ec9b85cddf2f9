import { expect } from "chai";
import { createLogger } from "oleandergap-logger";
import type { Contact, ReceiveMessage } from "oleandergap-membership";
import { createMemoryTableService, noFault, type MemoryTableService } from "oleandergap-platform";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { formatSubject, RETENTION_MS, type Departure } from "../departures/departure.js";
import { createDepartureLog, type DepartureLog } from "../departures/departureLog.js";
import type { DepartureMessage } from "../departures/departureMessages.js";
import { createDepartureReplicas } from "../departures/departureReplicas.js";
import { createDepartureTable } from "../departures/departureTable.js";

/** Longer than any call to a storage may take. */
const LONG_MS: Milliseconds = 5000;
const NODE_IDS = ["a", "b", "c"] as const;
type TestNodeId = typeof NODE_IDS[number];

/** Nodes of one zone that exchange datagrams, with one table. */
interface TestFleet {
    readonly clock: ManualClock;
    readonly tableService: MemoryTableService;
    isTableDown: boolean;
    /** Nodes that receive nothing. */
    readonly unreachable: Set<TestNodeId>;
    /** Number of the next datagrams that are lost. */
    lostDatagrams: number;
    /** Starts a node, or starts it again without its memory. */
    readonly start: (id: TestNodeId) => DepartureLog;
    /** Ends the latest process of a node. */
    readonly kill: (id: TestNodeId) => void;
}

const toContact = (id: TestNodeId): Contact => ({ id, zone: "hall-a", address: id, controlPort: 1 });

const createTestFleet = (): TestFleet => {
    const clock = createManualClock();
    const listeners = new Map<string, ReceiveMessage<DepartureMessage>>();
    const unreachable = new Set<TestNodeId>();
    const processes = new Map<TestNodeId, AbortController>();
    const tableService = createMemoryTableService({
        decideFault: () => fleet.isTableDown ? { kind: "Outage" } : noFault,
    });

    const send = (from: TestNodeId, to: string, message: DepartureMessage): void => {
        if (fleet.lostDatagrams > 0) {
            fleet.lostDatagrams -= 1;
            return;
        }
        if (!unreachable.has(from) && NODE_IDS.some((id) => id === to && !unreachable.has(id))) {
            listeners.get(to)?.(toContact(from), message);
        }
    };

    const openProcess = (nodeId: TestNodeId): AbortSignal => {
        const process = new AbortController();
        processes.set(nodeId, process);
        return process.signal;
    };

    const start = (nodeId: TestNodeId): DepartureLog => createDepartureLog({
        table: createDepartureTable({ tableService, nodeId, clock }),
        replicas: createDepartureReplicas({
            nodeId,
            clock,
            network: { members: () => NODE_IDS.filter((id) => id !== nodeId).map(toContact), contacts: () => [] },
            transport: {
                send: (to, message) => send(nodeId, to.address, message),
                onMessage: (listener) => listeners.set(nodeId, listener),
            },
        }),
        readDelay: () => 0,
        clock,
        random: () => 0.5,
        logger: createLogger("test"),
        signal: openProcess(nodeId),
    });
    const kill = (nodeId: TestNodeId): void => processes.get(nodeId)?.abort();

    const fleet: TestFleet = { clock, tableService, isTableDown: false, unreachable, lostDatagrams: 0, start, kill };
    NODE_IDS.forEach(start);
    return fleet;
};

/** Small steps let the table, which responds in real time, respond before a time limit has passed. */
const STEP_MS: Milliseconds = 50;

/** Resolves with the result of `work` while the clock advances. */
const runFor = async <Result>(clock: ManualClock, duration: Milliseconds, work: Promise<Result>): Promise<Result> => {
    for (let elapsed = 0; elapsed < duration; elapsed += STEP_MS) {
        await clock.advance(STEP_MS);
    }
    return work;
};

describe("createDepartureLog", () => {
    const left = { kind: "Left", lifetime: { instanceId: "i-1", bornAt: 5 } } as const;

    /** Returns the ids that a restarted node finds. */
    const restart = async ({ clock, start }: TestFleet, id: TestNodeId): Promise<readonly string[]> => {
        const found: Departure[] = [];
        await runFor(clock, LONG_MS, start(id).restore((departures) => found.push(...departures)));
        return [...new Set(found.map(formatSubject))];
    };

    it("finds a departure in the table after a restart of all nodes", async () => {
        const fleet = createTestFleet();
        expect(await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left))).to.equal(true);
        NODE_IDS.forEach(fleet.start);
        expect(await restart(fleet, "a")).to.deep.equal(["left i-1 5"]);
        expect(await restart(fleet, "b")).to.deep.equal([]);
    });

    it("finds a departure at other nodes while the table does not respond, although datagrams are lost", async () => {
        const fleet = createTestFleet();
        fleet.isTableDown = true;
        fleet.lostDatagrams = 3;
        expect(await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left))).to.equal(true);
        fleet.lostDatagrams = 3;
        expect(await restart(fleet, "a")).to.deep.equal(["left i-1 5"]);
    });

    it("writes a departure to the table once it responds again", async () => {
        const fleet = createTestFleet();
        fleet.isTableDown = true;
        expect(await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left))).to.equal(true);
        fleet.isTableDown = false;
        await runFor(fleet.clock, LONG_MS, Promise.resolve());
        NODE_IDS.forEach(fleet.start);
        expect(await restart(fleet, "a")).to.deep.equal(["left i-1 5"]);
    });

    it("writes a departure that a restarted node found at other nodes to the table once it responds again", async () => {
        const fleet = createTestFleet();
        fleet.isTableDown = true;
        expect(await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left))).to.equal(true);
        fleet.kill("a");
        expect(await restart(fleet, "a")).to.deep.equal(["left i-1 5"]);
        fleet.isTableDown = false;
        await runFor(fleet.clock, LONG_MS, Promise.resolve());
        NODE_IDS.forEach(fleet.start);
        expect(await restart(fleet, "a")).to.deep.equal(["left i-1 5"]);
    });

    it("passes on a departure that the table holds when the table responds again", async () => {
        const fleet = createTestFleet();
        await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left));
        NODE_IDS.forEach(fleet.start);
        fleet.isTableDown = true;
        const found: Departure[] = [];
        await runFor(fleet.clock, LONG_MS, fleet.start("a").restore((departures) => found.push(...departures)));
        expect(found).to.have.length(0);
        fleet.isTableDown = false;
        await runFor(fleet.clock, LONG_MS, Promise.resolve());
        expect(found).to.have.length(1);
    });

    it("does not confirm a departure that only this process holds, and tries again at the next announcement", async () => {
        const fleet = createTestFleet();
        const log = fleet.start("a");
        fleet.isTableDown = true;
        fleet.unreachable.add("a");
        expect(await runFor(fleet.clock, LONG_MS, log.record(left))).to.equal(false);
        fleet.isTableDown = false;
        expect(await runFor(fleet.clock, LONG_MS, log.record(left))).to.equal(true);
    });

    it("resolves although no storage responds", async () => {
        const fleet = createTestFleet();
        fleet.isTableDown = true;
        fleet.unreachable.add("a");
        expect(await restart(fleet, "a")).to.deep.equal([]);
    });

    it("stores a departure once, and none without an instance id", async () => {
        const fleet = createTestFleet();
        const log = fleet.start("a");
        await runFor(fleet.clock, LONG_MS, Promise.all([log.record(left), log.record(left), log.record({ kind: "Left", lifetime: {} })]));
        expect(fleet.tableService.state.scan({ prefix: "departures/", limit: 10 })).to.have.length(1);
    });

    it("finds the order of an operator until it has ended, also from storages that differ", async () => {
        const fleet = createTestFleet();
        const log = fleet.start("a");
        const target = { partner: "halloway", service: "wills-desk", port: 17_090 };
        await runFor(fleet.clock, LONG_MS, log.record({ kind: "Drained", target }));
        await fleet.clock.advance(RETENTION_MS);
        const found: Departure[] = [];
        await runFor(fleet.clock, LONG_MS, fleet.start("a").restore((departures) => found.push(...departures)));
        expect(found.map(({ kind }) => kind)).to.deep.equal(["Drained"]);

        fleet.isTableDown = true;
        await runFor(fleet.clock, LONG_MS, log.record({ kind: "DrainEnded" }));
        const later: Departure[] = [];
        const restarted = fleet.start("a");
        fleet.isTableDown = false;
        await runFor(fleet.clock, LONG_MS, restarted.restore((departures) => later.push(...departures)));
        expect(later.at(-1)?.kind).to.equal("DrainEnded");
    });

    it("deletes old departures also at a node that is never restarted", async () => {
        const fleet = createTestFleet();
        const log = fleet.start("a");
        for (const instanceId of ["i-1", "i-2"]) {
            await runFor(fleet.clock, LONG_MS, log.record({ kind: "Left", lifetime: { instanceId } }));
            await fleet.clock.advance(RETENTION_MS);
        }
        expect(fleet.tableService.state.scan({ prefix: "departures/", limit: 10 })).to.have.length(1);
    });

    it("deletes departures that are too old to matter", async () => {
        const fleet = createTestFleet();
        await runFor(fleet.clock, LONG_MS, fleet.start("a").record(left));
        NODE_IDS.forEach(fleet.start);
        await fleet.clock.advance(RETENTION_MS);
        expect(await restart(fleet, "a")).to.deep.equal([]);
        expect(fleet.tableService.state.scan({ prefix: "departures/", limit: 10 })).to.have.length(0);
    });
});
