import { expect } from "chai";
import { createSeededRandom } from "oleandergap-utils";
import { createReadinessState, findAdmissionRefusal } from "../admin/readiness.js";

describe("findAdmissionRefusal", () => {
    // Guards against a retry peak after all nodes have restarted together. Each node refuses callers for 0.4 s. With
    // the same retry delay, all of them retry one second later, and half of the requests are late or refused again.
    it("spreads the retry delays of callers at a node that is recovering", () => {
        const random = createSeededRandom(4);
        const state = createReadinessState();
        const times = Array.from({ length: 700 }, () =>
            findAdmissionRefusal(state, random)?.retryAfterMs ?? 0);
        expect(Math.min(...times)).to.be.within(300, 350);
        expect(Math.max(...times)).to.be.within(950, 1000);
        const busiest = Math.max(...Array.from({ length: 10 }, (_, slice) =>
            times.filter((time) => Math.floor(time / 100) === slice).length));
        expect(busiest).to.be.below(150);
    });
});
