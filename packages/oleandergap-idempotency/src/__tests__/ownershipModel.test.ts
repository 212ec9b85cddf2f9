import { expect } from "chai";
import * as fc from "fast-check";
import { claimOptionsSchema, ownershipOptionsSchema } from "../index.js";
import { createOutcomeChooser } from "../measure/platformMode.js";
import { createOwnedNode } from "../measure/ownedNode.js";
import {
    generateTestKey,
    NODES,
    runArbitrary,
    send,
    simulate,
    type StartNode,
    type Simulation,
} from "./support/simulation.js";
import { silentLogger } from "./support/silentLogger.js";

const claimOptions = claimOptionsSchema.parse({ keyClockToleranceMs: 5000 });
const ownershipOptions = ownershipOptionsSchema.parse({
    enabled: true,
    partitions: 2,
    leaseMs: 2000,
    takeoverWaitMs: 500,
    tickMs: 500,
});

/** Maximum error of the wall clocks, in milliseconds; such errors must not affect safety. */
const MAX_CLOCK_ERROR = 3000;

const startOwned: StartNode = (simulation, index) => createOwnedNode({
    ...simulation,
    wallClockOffset: (simulation.random() - 0.5) * 2 * MAX_CLOCK_ERROR,
    connect: (clock) => simulation.table.connect(
        clock,
        createOutcomeChooser(simulation.random, () => simulation.platformMode),
    ),
    logger: silentLogger,
    nodeId: `node-${index}`,
    bootId: `${simulation.startCount++}`,
    claimOptions,
    ownershipOptions,
    members: () => [...simulation.views[index] ?? []].map((member) => `node-${member}`),
});

/**
 * Maximum number of new keys that are sent. The lease here is shorter than the largest clock error, so the timestamps
 * of some keys are outside of it.
 */
const MAX_FRESH_KEYS = 60;

const sendToEveryNode = async (simulation: Simulation, key: string): Promise<void> => {
    for (let index = 0; index < NODES; index++) {
        await Promise.all([send(simulation, index, key), simulation.clock.advance(600)]);
    }
};

const expectOneResponse = (simulation: Simulation, key: string): void => {
    const bodies = simulation.results
        .filter((result) => result.key === key && result.body !== undefined)
        .map(({ body }) => body);
    expect([...new Set(bodies)].length, `different responses to ${key}`).to.be.at.most(1);
};

/** Checks that a key generated after the faults can be run. */
const expectFreshKeyRuns = async (simulation: Simulation): Promise<void> => {
    for (let attempt = 0; attempt < MAX_FRESH_KEYS; attempt++) {
        const key = generateTestKey(simulation);
        await sendToEveryNode(simulation, key);
        if (simulation.target.countRuns(key) === 1) {
            return;
        }
    }
    expect.fail("no fresh key was accepted");
};

const expectGuarantees = async (simulation: Simulation): Promise<void> => {
    for (const key of [...simulation.keys]) {
        await sendToEveryNode(simulation, key);
        expect(simulation.target.countRuns(key), `runs of ${key}`).to.be.at.most(1);
        expectOneResponse(simulation, key);
    }
    const falseNotRuns = simulation.results.filter(({ verdict, sent }) => verdict === "notRun" && sent);
    expect(falseNotRuns, "requests with the verdict notRun although they ran").to.deep.equal([]);
    await expectFreshKeyRuns(simulation);
};

describe("ownership under random failures", function () {
    this.timeout(60_000);

    it("never runs a key twice when its partition changes owner, and accepts new keys after the faults", () =>
        fc.assert(
            fc.asyncProperty(runArbitrary, (run) => simulate(run, startOwned, expectGuarantees)),
            { numRuns: 120 },
        ));
});
