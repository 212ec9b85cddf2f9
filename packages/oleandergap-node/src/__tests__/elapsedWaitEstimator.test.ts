import { expect } from "chai";
import fastCheck from "fast-check";
import { createElapsedWaitEstimator } from "../gateway/elapsedWaitEstimator.js";

const DEADLINE_MS = 2000;

describe("createElapsedWaitEstimator", () => {
    it("estimates the elapsed wait of a retry from the remainder of its deadline", () => {
        const estimate = createElapsedWaitEstimator();
        for (let count = 0; count < 40; count++) {
            expect(estimate("views", DEADLINE_MS)).to.equal(0);
        }
        expect(estimate("views", 1400)).to.equal(600);
        expect(estimate("views", DEADLINE_MS - 5)).to.equal(0);
        expect(estimate("views", 700)).to.equal(1300);
        expect(estimate("lodges", 700)).to.equal(0);
    });

    it("keeps estimating the elapsed wait when every caller retries twice", () => {
        const estimate = createElapsedWaitEstimator();
        for (let count = 0; count < 200; count++) {
            const elapsed = [DEADLINE_MS, 1333, 890].map((remainingMs) => estimate("views", remainingMs));
            expect(count < 12 ? [0, 667, 1110] : elapsed).to.deep.equal([0, 667, 1110]);
        }
    });

    it("assumes no elapsed wait if callers use different timeouts", () => {
        const estimate = createElapsedWaitEstimator();
        for (let count = 0; count < 500; count++) {
            const elapsed = estimate("calls", 50 + (count * 37) % 200);
            expect(count < 100 ? 0 : elapsed).to.equal(0);
        }
    });

    it("discards a deadline that no caller uses any more", () => {
        const estimate = createElapsedWaitEstimator();
        estimate("views", 60_000);
        for (let count = 0; count < 500; count++) {
            const elapsed = estimate("views", DEADLINE_MS);
            expect(count < 20 ? 0 : elapsed).to.equal(0);
        }
        expect(estimate("views", 1400)).to.equal(600);
    });

    it("never returns more than the difference to the longest deadline", () => {
        fastCheck.assert(fastCheck.property(
            fastCheck.array(fastCheck.integer({ min: 0, max: 10_000 }), { maxLength: 200 }),
            (deadlines) => {
                const estimate = createElapsedWaitEstimator();
                let longest = 0;
                for (const deadline of deadlines) {
                    longest = Math.max(longest, deadline);
                    expect(estimate("", deadline)).to.be.within(0, longest - deadline);
                }
            },
        ));
    });
});
