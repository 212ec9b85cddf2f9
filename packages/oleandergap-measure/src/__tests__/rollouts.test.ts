import { expect } from "chai";
import { measureRollouts } from "../rollouts/measureRollouts.js";
import { rolloutCases, type RolloutCase } from "../rollouts/rolloutCases.js";
import { createThresholdJudge } from "../rollouts/thresholdJudge.js";

const findCase = (name: string): RolloutCase => {
    const found = rolloutCases.find((rolloutCase) => rolloutCase.name === name);
    if (found === undefined) {
        throw new RangeError(`unknown case ${name}`);
    }
    return found;
};

describe("the comparison of judges of roll-outs", function () {
    this.timeout(60_000);

    it("shows that a threshold on failures misses a version that is three times slower", async () => {
        const slow = findCase("3 times slower");
        expect(await measureRollouts(slow, 2, createThresholdJudge)).to.include({ right: 0 });
        expect(await measureRollouts(slow, 2, undefined)).to.include({ right: 2, exceeded: 0 });
    });
});
