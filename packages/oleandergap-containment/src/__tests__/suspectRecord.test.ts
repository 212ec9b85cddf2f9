import { expect } from "chai";
import { clearCrashes, createSuspectRecord, isNewCrash } from "../suspectRecord.js";

const SECOND_MS = 1000;

describe("clearCrashes", () => {
    it("keeps few crashes of a popular read that is running during crashes for an hour", () => {
        const record = createSuspectRecord();
        let maximumSize = 0;
        for (let second = 1; second <= 3600; second++) {
            record.crashes.set(`c-${second}`, second * SECOND_MS);
            clearCrashes(record, second * SECOND_MS + 1);
            maximumSize = Math.max(maximumSize, record.crashes.size);
        }

        expect(maximumSize).to.be.at.most(12);
    });

    it("ignores a crash that is reported again", () => {
        const record = createSuspectRecord();
        record.crashes.set("c-1", 10);
        clearCrashes(record, 20);

        expect(isNewCrash(record, "c-1", 30)).to.equal(false);
        expect(isNewCrash(record, "c-0", 15)).to.equal(false);
        expect(isNewCrash(record, "c-2", 30)).to.equal(true);
    });
});
