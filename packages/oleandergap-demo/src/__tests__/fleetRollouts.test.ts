import * as either from "fp-ts/lib/Either.js";
import { expect } from "chai";
import type { RolloutsView } from "oleandergap-operator";
import { createCaller, type Caller, type CallResult } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { Fleet } from "../fleet/fleet.js";
import type { FleetNode } from "../fleet/fleetNode.js";
import { startFleet } from "../fleet/startFleet.js";
import { createOneServicePlan } from "../plan/deployments.js";
import { choosePortBase, createRead, findGateway, readUntilAnswered, TIME_LIMIT, waitUntil } from "./fleetProbes.js";

const SERVICE = { partner: "halloway", service: "wills-desk" } as const;
const OLD_VERSION = "v1";
const NEW_VERSION = "v2";
const TARGETS = 12;
const DURATION_MS: Milliseconds = 20_000;
const READ_INTERVAL_MS: Milliseconds = 8;
/** Share of the reads that must be served through a roll-out. */
const SERVED_SHARE = 0.99;
/** Share of the requests that a bad version may get, and the number of requests that it may get beyond. */
const CANARY_SHARE = 0.1;
const CANARY_SLACK = 50;

const sleep = (durationMs: Milliseconds): Promise<void> => new Promise((resolve) => setTimeout(resolve, durationMs));

describe("a roll-out in a fleet of real processes", () => {
    let fleet: Fleet;
    let caller: Caller;

    beforeEach(async function () {
        this.timeout(TIME_LIMIT);
        fleet = await startFleet(createOneServicePlan({
            targets: TARGETS,
            portBase: choosePortBase(7),
            versions: [OLD_VERSION, NEW_VERSION],
            settings: { routing: { picker: { slowStartMs: 500 } } },
        }));
        caller = createCaller();
        await Promise.all(listNewNodes().map((node) => node.stop()));
        await Promise.all(listOldNodes().map(({ vm }) => readUntilAnswered(fleet, caller, SERVICE, vm.id)));
    });

    afterEach(async function () {
        this.timeout(TIME_LIMIT);
        await caller.close();
        await fleet.stop();
    });

    const listNewNodes = (): readonly FleetNode[] =>
        fleet.nodes.filter(({ vm }) => vm.target?.version === NEW_VERSION);
    const listOldNodes = (): readonly FleetNode[] =>
        fleet.nodes.filter(({ vm }) => vm.target?.version === OLD_VERSION);

    const countReceived = async (): Promise<{ readonly atNew: number; readonly total: number }> => {
        const newTargets = new Set(listNewNodes().map(({ vm }) => vm.id));
        const targets = await fleet.targets.targets();
        const sum = (reports: typeof targets): number =>
            reports.reduce((count, { counters }) => count + counters.received, 0);
        return { atNew: sum(targets.filter(({ id }) => newTargets.has(id))), total: sum(targets) };
    };

    const readRollout = async (): Promise<RolloutsView["rollouts"][number] | undefined> => {
        const view = await fleet.operatorClient("halloway").listRollouts()();
        return either.isRight(view) ? view.right.rollouts[0] : undefined;
    };

    /** Reads through the nodes of the old targets in turn until `signal` aborts. */
    const readContinuously = async (signal: AbortSignal): Promise<readonly CallResult[]> => {
        const gateways = listOldNodes();
        const results: Promise<CallResult>[] = [];
        while (!signal.aborted) {
            const { vm } = gateways[results.length % gateways.length] ?? fleet.node("");
            results.push(caller.call(findGateway(fleet, vm.id), createRead(SERVICE, `read-${results.length}`)));
            await sleep(READ_INTERVAL_MS);
        }
        return Promise.all(results);
    };

    /** Orders a roll-out, starts the new targets, reads until the time limit, and returns the reads. */
    const playRollout = async (): Promise<readonly CallResult[]> => {
        const order = { id: "order-1", service: SERVICE.service, version: NEW_VERSION, durationMs: DURATION_MS };
        expect(await fleet.operatorClient("halloway").startRollout(order)()).to.have.property("_tag", "Right");
        const stopReading = new AbortController();
        const reads = readContinuously(stopReading.signal);
        const timeLimit = sleep(DURATION_MS);
        await Promise.all(listNewNodes().map((node) => node.start()));
        await waitUntil(fleet, "the roll-out has ended", async () =>
            ["completed", "rolledBack"].includes((await readRollout())?.state ?? ""));
        await timeLimit;
        stopReading.abort();
        return reads;
    };

    const expectServed = (reads: readonly CallResult[]): void => {
        const served = reads.filter(({ kind }) => kind === "Answered").length;
        expect(served / reads.length).to.be.at.least(SERVED_SHARE);
    };

    it("moves all requests to a good version, and serves callers meanwhile", async () => {
        expectServed(await playRollout());
        expect(await readRollout()).to.include({ state: "completed" });
        const before = await countReceived();
        await Promise.all(listOldNodes().map(({ vm }) => readUntilAnswered(fleet, caller, SERVICE, vm.id)));
        const after = await countReceived();
        expect(after.atNew - before.atNew).to.equal(after.total - before.total);
    }).timeout(TIME_LIMIT);

    it("moves away from a version that cuts answers off, before it gets many requests", async () => {
        await Promise.all(listNewNodes().map(({ vm }) => fleet.targets.setFaults(vm.id, { cutAnswerShare: 0.5 })));
        const before = await countReceived();
        expectServed(await playRollout());
        const after = await countReceived();
        expect(await readRollout()).to.include({ state: "rolledBack" });
        expect(after.atNew - before.atNew).to.be.at.most(CANARY_SHARE * (after.total - before.total) + CANARY_SLACK);
    }).timeout(TIME_LIMIT);
});
