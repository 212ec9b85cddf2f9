import { expect } from "chai";
import * as fc from "fast-check";
import { claimOptionsSchema, createClaimManager } from "../index.js";
import { createOutcomeChooser } from "../measure/platformMode.js";
import { createClaimingNode, createNodeWithoutClaims } from "../measure/simulatedNode.js";
import { NODES, runArbitrary, send, simulate, type StartNode, type Simulation } from "./support/simulation.js";
import { silentLogger } from "./support/silentLogger.js";

const startDurable: StartNode = (simulation, index) => createClaimingNode(simulation, (clock) => createClaimManager({
    tableService: simulation.table.connect(
        clock,
        createOutcomeChooser(simulation.random, () => simulation.platformMode),
    ),
    clock,
    random: simulation.random,
    nodeId: `node-${index}`,
    bootId: `${simulation.startCount++}`,
    logger: silentLogger,
    // Shorter than the request timeout of the simulation, so that claims fail at this timeout and at their deadline.
    options: claimOptionsSchema.parse({ answerTimeoutMs: 200 }),
    signal: simulation.signal,
}));

const startWithoutClaims: StartNode = (simulation) => createNodeWithoutClaims(simulation);

/** Checks that a key that certainly did not run can be run, and that a completed key returns its first response. */
const expectKeyUsable = async (simulation: Simulation, key: string): Promise<void> => {
    const first = simulation.results.find((result) => result.key === key && result.body !== undefined);
    const hadRun = simulation.target.countRuns(key) === 1;
    for (let attempt = 0; attempt < 12 && !simulation.uncertainKeys.has(key); attempt++) {
        await Promise.all([send(simulation, attempt % NODES, key), simulation.clock.advance(2000)]);
        if (simulation.results.at(-1)?.body !== undefined) {
            break;
        }
    }
    expect(simulation.target.countRuns(key)).to.be.at.most(1);
    if (simulation.uncertainKeys.has(key)) {
        return;
    }
    const last = simulation.results.at(-1);
    expect(last?.body, `response to ${key}`).to.equal(`${key} run 1`);
    expect(last?.sent).to.equal(!hadRun);
    expect(last?.body).to.equal(first?.body ?? last?.body);
};

const expectGuarantees = async (simulation: Simulation): Promise<void> => {
    const falseNotRuns = simulation.results.filter(({ verdict, sent }) => verdict === "notRun" && sent);
    expect(falseNotRuns, "requests with the verdict notRun although they ran").to.deep.equal([]);
    for (const key of simulation.keys) {
        expect(simulation.target.countRuns(key), `runs of ${key}`).to.be.at.most(1);
        await expectKeyUsable(simulation, key);
    }
};

describe("claims under random failures", function () {
    this.timeout(60_000);

    it("never run a key twice, never report a false notRun, replay one response and block no released key", () =>
        fc.assert(
            fc.asyncProperty(runArbitrary, (run) => simulate(run, startDurable, expectGuarantees)),
            { numRuns: 400 },
        ));

    it("are necessary: a node without claims runs keys twice in the same simulation", async () => {
        const result = await fc.check(
            fc.asyncProperty(runArbitrary, (run) => simulate(run, startWithoutClaims, async (simulation) => {
                expect(simulation.target.maxRuns()).to.be.at.most(1);
            })),
            { numRuns: 50 },
        );
        expect(result.failed).to.equal(true);
    });
});
