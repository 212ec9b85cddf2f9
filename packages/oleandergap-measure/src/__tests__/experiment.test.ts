import { expect } from "chai";
import { formatResult } from "../experiment.js";
import { createDurationRecorder } from "../durationRecorder.js";

describe("formatResult", () => {
    it("writes one line of JSON with rounded figures", () => {
        const line = formatResult({ experiment: "x", nodes: 2, ours: { shareOne: 0.123456 }, naive: { countTwo: 7 } });

        expect(line).not.to.contain("\n");
        expect(JSON.parse(line)).to.deep.equal({
            experiment: "x", nodes: 2, ours: { shareOne: 0.123 }, naive: { countTwo: 7 },
        });
    });
});

describe("createDurationRecorder", () => {
    it("keeps percentiles to three significant digits and clamps values out of range", () => {
        const recorder = createDurationRecorder();
        for (let duration = 1; duration <= 100; duration++) {
            recorder.record(duration);
        }
        recorder.record(-5);

        expect(recorder.percentile(50)).to.be.closeTo(50, 0.5);
        expect(recorder.maximum()).to.be.closeTo(100, 0.2);
        expect(recorder.count()).to.equal(101);
    });
});
