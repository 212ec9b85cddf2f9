import { expect } from "chai";
import { createCaller, type Caller, type CallRequest, type CallResult } from "oleandergap-standins";
import type { Milliseconds, NodeId } from "oleandergap-types";
import type { Fleet } from "../fleet/fleet.js";
import { startFleet } from "../fleet/startFleet.js";
import { createOneServicePlan } from "../plan/deployments.js";
import { choosePortBase, createRead, findGateway, readUntilAnswered, TIME_LIMIT, waitUntil } from "./fleetProbes.js";

const SERVICE = { partner: "halloway", service: "wills-desk" } as const;
const TARGETS = 6;
const CRASH_PATH = "/items/crash";
/** Short, so that enough targets are running to be crashed. */
const TARGET_RESTART_DELAY_MS: Milliseconds = 300;
/** Time for evidence to propagate between the nodes. */
const PROPAGATION_MS: Milliseconds = 3000;
const CRASHES_TO_CONTAIN = 3;
const MAX_LATE_RUNS = 3;
const READ_INTERVAL_MS: Milliseconds = 25;
/** Long enough that some targets have restarted before the next send. */
const SEND_INTERVAL_MS: Milliseconds = 100;

const sleep = (durationMs: Milliseconds): Promise<void> => new Promise((resolve) => setTimeout(resolve, durationMs));

const getReason = (result: CallResult): string | undefined => result.kind === "Refused" ? result.reason : result.kind;

describe("a request that crashes its targets, in a fleet of real processes", () => {
    let fleet: Fleet;
    let caller: Caller;
    let sentCrashRequests = 0;

    beforeEach(async function () {
        this.timeout(TIME_LIMIT);
        fleet = await startFleet(createOneServicePlan({ targets: TARGETS, portBase: choosePortBase(6) }));
        caller = createCaller();
        await Promise.all(fleet.nodes.map(({ vm }) => readUntilAnswered(fleet, caller, SERVICE, vm.id)));
        await Promise.all(fleet.nodes.map(({ vm }) =>
            fleet.targets.setFaults(vm.id, { crashPath: CRASH_PATH, crashDownMs: TARGET_RESTART_DELAY_MS })));
    });

    afterEach(async function () {
        this.timeout(TIME_LIMIT);
        await caller.close();
        await fleet.stop();
    });

    const createCrashRequest = (method: "GET" | "POST"): CallRequest => {
        sentCrashRequests += 1;
        return { ...createRead(SERVICE, `crash-${sentCrashRequests}`), method, path: CRASH_PATH };
    };

    const countCrashes = async (): Promise<number> => (await fleet.targets.targets())
        .reduce((sum, { counters }) => sum + counters.crashes, 0);

    const countRuns = async (): Promise<number> => (await fleet.targets.runs()).keys
        .filter(({ key }) => key.startsWith("crash-"))
        .reduce((sum, { runs }) => sum + runs, 0);

    /** Sends the request through all nodes in turn, like a caller that keeps retrying. */
    const sendThroughAllNodes = async (method: "GET" | "POST"): Promise<readonly CallResult[]> => {
        const results: CallResult[] = [];
        for (const { vm } of fleet.nodes) {
            results.push(await caller.call(findGateway(fleet, vm.id), createCrashRequest(method)));
            await sleep(SEND_INTERVAL_MS);
        }
        return results;
    };

    const sendUntilThirdCrash = (method: "GET" | "POST"): Promise<void> =>
        waitUntil(fleet, "three targets have crashed", async () => {
            const { vm } = fleet.nodes[sentCrashRequests % TARGETS] ?? fleet.node("");
            await caller.call(findGateway(fleet, vm.id), createCrashRequest(method));
            return await countCrashes() >= CRASHES_TO_CONTAIN;
        });

    /** Reads one popular path through all nodes until `signal` aborts. */
    const readPopular = async (signal: AbortSignal): Promise<readonly CallResult[]> => {
        const results: Promise<CallResult>[] = [];
        while (!signal.aborted) {
            const { vm } = fleet.nodes[results.length % TARGETS] ?? fleet.node("");
            const read = { ...createRead(SERVICE, `popular-${results.length}`), path: "/items/popular" };
            results.push(caller.call(findGateway(fleet, vm.id), read));
            await sleep(READ_INTERVAL_MS);
        }
        return Promise.all(results);
    };

    for (const method of ["GET", "POST"] as const) {
        it(`runs at most three more times after the third crash, without containing popular reads (${method})`, async () => {
            const popularReadsEnd = new AbortController();
            const popularReads = readPopular(popularReadsEnd.signal);
            await sendUntilThirdCrash(method);
            await sleep(PROPAGATION_MS);
            const runsBefore = await countRuns();
            const results = [...await sendThroughAllNodes(method), ...await sendThroughAllNodes(method)];
            const runsAfter = await countRuns() - runsBefore;
            popularReadsEnd.abort();
            const reasons = (await popularReads).map(getReason);

            expect(runsAfter, JSON.stringify(results)).to.be.at.most(MAX_LATE_RUNS);
            expect(reasons).to.not.include("Contained");
        }).timeout(TIME_LIMIT);
    }

    it("runs at most three more times through a node that starts after the third crash", async () => {
        await sendUntilThirdCrash("GET");
        const restartedNode: NodeId = fleet.nodes[0]?.vm.id ?? "";
        await fleet.node(restartedNode).kill();
        await fleet.node(restartedNode).start();
        await fleet.waitUntilReady();
        await sleep(PROPAGATION_MS);
        const runsBefore = await countRuns();
        for (let count = 0; count < 2 * MAX_LATE_RUNS; count++) {
            await caller.call(findGateway(fleet, restartedNode), createCrashRequest("GET"));
            await sleep(SEND_INTERVAL_MS);
        }

        expect(await countRuns() - runsBefore).to.be.at.most(MAX_LATE_RUNS);
    }).timeout(TIME_LIMIT);

    it("stays refused when all nodes are killed at the same time and restart", async () => {
        await sendUntilThirdCrash("GET");
        await sleep(PROPAGATION_MS);
        await Promise.all(fleet.nodes.map((node) => node.kill()));
        await Promise.all(fleet.nodes.map((node) => node.start()));
        await fleet.waitUntilReady();
        await sleep(PROPAGATION_MS);
        const reasons = (await sendThroughAllNodes("GET")).map(getReason);

        expect(new Set(reasons)).to.deep.equal(new Set(["Contained"]));
    }).timeout(TIME_LIMIT);
});
