import { expect } from "chai";
import { playCrashes, type CrashOutcome, type CrashSchedule } from "./crashModel.js";

/** A hunt by hand plays more: `CRASH_SCHEDULES=1000 npx mocha --grep "schedules of crashes"`. */
const SCHEDULES = Number(process.env["CRASH_SCHEDULES"] ?? 40);
const FIRST_SEED = Number(process.env["CRASH_FIRST_SEED"] ?? 1);
const NAIVE_SCHEDULES = 40;
const SENDS_ALLOWED = 3;
const TIME_LIMIT = 600_000;

const playAll = async (count: number, variant: Omit<CrashSchedule, "seed">): Promise<readonly CrashOutcome[]> => {
    const outcomes: CrashOutcome[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + count; seed++) {
        outcomes.push(await playCrashes({ ...variant, seed }));
    }
    return outcomes;
};

const listSeeds = (
    outcomes: readonly CrashOutcome[],
    isFaulty: (outcome: CrashOutcome) => boolean,
): readonly number[] =>
    outcomes.flatMap((outcome, index) => isFaulty(outcome) ? [FIRST_SEED + index] : []);

describe("random schedules of crashes", () => {
    it("reach targets at most three times later, and blame nobody else", async () => {
        const outcomes = await playAll(SCHEDULES, {});

        expect(listSeeds(outcomes, ({ runsLater }) => runsLater > SENDS_ALLOWED), "runs later").to.deep.equal([]);
        expect(listSeeds(outcomes, ({ blamed }) => blamed > 0), "blame").to.deep.equal([]);
        expect(outcomes.some(({ crashes }) => crashes >= SENDS_ALLOWED)).to.equal(true);
    }).timeout(TIME_LIMIT);

    it("blame nobody when targets crash of themselves", async () => {
        const outcomes = await playAll(SCHEDULES, { selfCrashes: true });

        expect(listSeeds(outcomes, ({ blamed }) => blamed > 0)).to.deep.equal([]);
    }).timeout(TIME_LIMIT);

    it("go on without end where each node counts alone", async () => {
        const outcomes = await playAll(NAIVE_SCHEDULES, { isMute: true });

        expect(listSeeds(outcomes, ({ runsLater }) => runsLater > SENDS_ALLOWED)).to.not.deep.equal([]);
    }).timeout(TIME_LIMIT);

    it("have harmless requests refused where whatever ran is blamed", async () => {
        const outcomes = await playAll(NAIVE_SCHEDULES, { blamesAll: true, selfCrashes: true });

        expect(listSeeds(outcomes, ({ blamed }) => blamed > 0)).to.not.deep.equal([]);
    }).timeout(TIME_LIMIT);
});
