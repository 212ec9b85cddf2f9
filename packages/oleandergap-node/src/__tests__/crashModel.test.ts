import { expect } from "chai";
import { simulateCrashes, type CrashOutcome, type CrashScenario } from "./crashModel.js";

/**
 * Number of simulations, each with its own seed. More can be run manually: `CRASH_SCHEDULES=1000 npx mocha --grep
 * "schedules of crashes"`.
 */
const SCENARIO_COUNT = Number(process.env["CRASH_SCHEDULES"] ?? 40);
const FIRST_SEED = Number(process.env["CRASH_FIRST_SEED"] ?? 1);
const NAIVE_SCENARIO_COUNT = 40;
const MAX_CRASH_RUNS = 3;
const TIMEOUT_MS = 600_000;

const simulateAll = async (count: number, variant: Omit<CrashScenario, "seed">): Promise<readonly CrashOutcome[]> => {
    const outcomes: CrashOutcome[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + count; seed++) {
        outcomes.push(await simulateCrashes({ ...variant, seed }));
    }
    return outcomes;
};

const listSeeds = (
    outcomes: readonly CrashOutcome[],
    isFaulty: (outcome: CrashOutcome) => boolean,
): readonly number[] =>
    outcomes.flatMap((outcome, index) => isFaulty(outcome) ? [FIRST_SEED + index] : []);

describe("containment under random schedules of crashes", () => {
    it("limits late runs of the crashing request to three, and refuses no harmless request", async () => {
        const outcomes = await simulateAll(SCENARIO_COUNT, {});

        expect(listSeeds(outcomes, ({ lateCrashRuns }) => lateCrashRuns > MAX_CRASH_RUNS), "late crash runs")
            .to.deep.equal([]);
        expect(listSeeds(outcomes, ({ harmlessRefused }) => harmlessRefused > 0), "refused harmless requests")
            .to.deep.equal([]);
        expect(outcomes.some(({ crashes }) => crashes >= MAX_CRASH_RUNS)).to.equal(true);
    }).timeout(TIMEOUT_MS);

    it("refuses no harmless request when targets crash spontaneously", async () => {
        const outcomes = await simulateAll(SCENARIO_COUNT, { hasSpontaneousCrashes: true });

        expect(listSeeds(outcomes, ({ harmlessRefused }) => harmlessRefused > 0)).to.deep.equal([]);
    }).timeout(TIMEOUT_MS);

    it("exceeds the limit of late runs if nodes do not share their evidence", async () => {
        const outcomes = await simulateAll(NAIVE_SCENARIO_COUNT, { sharesNoEvidence: true });

        expect(listSeeds(outcomes, ({ lateCrashRuns }) => lateCrashRuns > MAX_CRASH_RUNS)).to.not.deep.equal([]);
    }).timeout(TIMEOUT_MS);

    it("refuses harmless requests if successful runs do not clear them", async () => {
        const outcomes = await simulateAll(NAIVE_SCENARIO_COUNT, {
            ignoresGoodRuns: true,
            hasSpontaneousCrashes: true,
        });

        expect(listSeeds(outcomes, ({ harmlessRefused }) => harmlessRefused > 0)).to.not.deep.equal([]);
    }).timeout(TIMEOUT_MS);
});
