import { expect } from "chai";
import { createSuspectRecord, isNewCrash, takeBackCrashes } from "../suspectRecord.js";

const SECOND_MS = 1000;

describe("takeBackCrashes", () => {
    it("keeps few crashes of a popular read beside which targets crash for an hour", () => {
        const record = createSuspectRecord();
        let most = 0;
        for (let second = 1; second <= 3600; second++) {
            record.crashes.set(`c-${second}`, second * SECOND_MS);
            takeBackCrashes(record, second * SECOND_MS + 1);
            most = Math.max(most, record.crashes.size);
        }

        expect(most).to.be.at.most(12);
    });

    it("leaves a crash that is told once more without effect", () => {
        const record = createSuspectRecord();
        record.crashes.set("c-1", 10);
        takeBackCrashes(record, 20);

        expect(isNewCrash(record, "c-1", 30)).to.equal(false);
        expect(isNewCrash(record, "c-0", 15)).to.equal(false);
        expect(isNewCrash(record, "c-2", 30)).to.equal(true);
    });
});
