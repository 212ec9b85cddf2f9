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
/** Short, so that there are targets left to crash. */
const DOWN_MS: Milliseconds = 300;
/** Time that nodes have to tell each other. */
const CONTACT_MS: Milliseconds = 3000;
const CRASHES_BEFORE = 3;
const SENDS_AFTER = 3;
const READ_DISTANCE_MS: Milliseconds = 25;
/** Some targets are back by the next send. */
const SEND_DISTANCE_MS: Milliseconds = 100;

const sleep = (durationMs: Milliseconds): Promise<void> => new Promise((resolve) => setTimeout(resolve, durationMs));

const reasonOf = (result: CallResult): string | undefined => result.kind === "Refused" ? result.reason : result.kind;

describe("a request that crashes its targets, in a fleet of real processes", () => {
    let fleet: Fleet;
    let caller: Caller;
    let crashes = 0;

    beforeEach(async function () {
        this.timeout(TIME_LIMIT);
        fleet = await startFleet(createOneServicePlan({ targets: TARGETS, portBase: choosePortBase(6) }));
        caller = createCaller();
        await Promise.all(fleet.nodes.map(({ vm }) => readUntilAnswered(fleet, caller, SERVICE, vm.id)));
        await Promise.all(fleet.nodes.map(({ vm }) =>
            fleet.targets.setFaults(vm.id, { crashPath: CRASH_PATH, crashDownMs: DOWN_MS })));
    });

    afterEach(async function () {
        this.timeout(TIME_LIMIT);
        await caller.close();
        await fleet.stop();
    });

    const createCrash = (method: "GET" | "POST"): CallRequest => {
        crashes += 1;
        return { ...createRead(SERVICE, `crash-${crashes}`), method, path: CRASH_PATH };
    };

    const countCrashes = async (): Promise<number> => (await fleet.targets.targets())
        .reduce((sum, { counters }) => sum + counters.crashes, 0);

    const countRuns = async (): Promise<number> => (await fleet.targets.runs()).keys
        .filter(({ key }) => key.startsWith("crash-"))
        .reduce((sum, { runs }) => sum + runs, 0);

    /** Sends it through one node after the other, as a caller that does not give up. */
    const sendEverywhere = async (method: "GET" | "POST"): Promise<readonly CallResult[]> => {
        const results: CallResult[] = [];
        for (const { vm } of fleet.nodes) {
            results.push(await caller.call(findGateway(fleet, vm.id), createCrash(method)));
            await sleep(SEND_DISTANCE_MS);
        }
        return results;
    };

    const sendUntilThirdCrash = (method: "GET" | "POST"): Promise<void> =>
        waitUntil(fleet, "three targets have crashed", async () => {
            const { vm } = fleet.nodes[crashes % TARGETS] ?? fleet.node("");
            await caller.call(findGateway(fleet, vm.id), createCrash(method));
            return await countCrashes() >= CRASHES_BEFORE;
        });

    /** Reads one popular path through all nodes until `signal` aborts. */
    const readPopular = async (signal: AbortSignal): Promise<readonly CallResult[]> => {
        const results: Promise<CallResult>[] = [];
        while (!signal.aborted) {
            const { vm } = fleet.nodes[results.length % TARGETS] ?? fleet.node("");
            const read = { ...createRead(SERVICE, `popular-${results.length}`), path: "/items/popular" };
            results.push(caller.call(findGateway(fleet, vm.id), read));
            await sleep(READ_DISTANCE_MS);
        }
        return Promise.all(results);
    };

    for (const method of ["GET", "POST"] as const) {
        it(`reaches at most three more after the third, and blames no popular read beside it (${method})`, async () => {
            const end = new AbortController();
            const popular = readPopular(end.signal);
            await sendUntilThirdCrash(method);
            await sleep(CONTACT_MS);
            const runsBefore = await countRuns();
            const told = [...await sendEverywhere(method), ...await sendEverywhere(method)];
            const runsAfter = await countRuns() - runsBefore;
            end.abort();
            const reasons = (await popular).map(reasonOf);

            expect(runsAfter, JSON.stringify(told)).to.be.at.most(SENDS_AFTER);
            expect(reasons).to.not.include("Contained");
        }).timeout(TIME_LIMIT);
    }

    it("is known to a node that starts after the third crash", async () => {
        await sendUntilThirdCrash("GET");
        const restarted: NodeId = fleet.nodes[0]?.vm.id ?? "";
        await fleet.node(restarted).kill();
        await fleet.node(restarted).start();
        await fleet.waitUntilReady();
        await sleep(CONTACT_MS);
        const runsBefore = await countRuns();
        for (let count = 0; count < 2 * SENDS_AFTER; count++) {
            await caller.call(findGateway(fleet, restarted), createCrash("GET"));
            await sleep(SEND_DISTANCE_MS);
        }

        expect(await countRuns() - runsBefore).to.be.at.most(SENDS_AFTER);
    }).timeout(TIME_LIMIT);

    it("stays refused when all nodes are killed at once and start anew", async () => {
        await sendUntilThirdCrash("GET");
        await sleep(CONTACT_MS);
        await Promise.all(fleet.nodes.map((node) => node.kill()));
        await Promise.all(fleet.nodes.map((node) => node.start()));
        await fleet.waitUntilReady();
        await sleep(CONTACT_MS);
        const reasons = (await sendEverywhere("GET")).map(reasonOf);

        expect(new Set(reasons)).to.deep.equal(new Set(["Contained"]));
    }).timeout(TIME_LIMIT);
});
