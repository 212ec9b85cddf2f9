import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createRequestMeter } from "../requestMeter.js";

describe("createRequestMeter", () => {
    it("counts the requests of the last period and forgets older ones", async () => {
        const clock = createManualClock();
        const meter = createRequestMeter(clock);
        for (let count = 0; count < 50; count++) {
            meter.record();
            await clock.advance(100);
        }
        expect(meter.countRecent(1000)).to.be.within(9, 10);
        expect(meter.countRecent(4000)).to.be.within(39, 40);
        await clock.advance(2000);
        expect(meter.countRecent(1000)).to.equal(0);
        expect(meter.countRecent(4000)).to.be.within(19, 20);
    });
});
