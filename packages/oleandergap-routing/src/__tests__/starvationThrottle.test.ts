import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createStarvationThrottle } from "../starvationThrottle.js";

interface Part {
    readonly kind: string;
    /** Part of its runs that need a call. */
    readonly calling: number;
}

interface Played {
    readonly offered: number;
    readonly sent: number;
    readonly served: number;
}

/** Offers 100 requests of a kind a second for `seconds`; calls are served with a probability. */
const play = async ({ kind, calling }: Part, served: (second: number) => number, seconds: number): Promise<Played> => {
    const clock = createManualClock();
    const random = createSeededRandom(7);
    const throttle = createStarvationThrottle(clock, createSeededRandom(8));
    const counts = { offered: 0, sent: 0, served: 0 };
    for (let count = 0; count < seconds * 100; count++) {
        counts.offered += 1;
        if (throttle.admits(kind)) {
            counts.sent += 1;
            const isStarved = random() < calling && random() >= served(count / 100);
            counts.served += isStarved ? 0 : 1;
            clock.after(150, () => throttle.noteRun(kind, isStarved));
        }
        await clock.advance(10);
    }
    return counts;
};

describe("createStarvationThrottle", () => {
    // Symptom: seven in ten runs of a service end with its targets' own 500, and its queues are full.
    // Sequence: a service loses two of its three targets; requests elsewhere are let in, run, call it and fail.
    // Cause: each hop decides by its own room alone, whatever the runs that it lets in need.
    it("sends little of what nearly always fails, and still notices room", async () => {
        const short = await play({ kind: "again", calling: 0.875 }, () => 0, 20);
        expect(short.sent / short.offered).to.be.within(0.2, 0.55);
        const none = await play({ kind: "lookup", calling: 1 }, () => 0, 20);
        expect(none.sent / none.offered).to.be.within(0.08, 0.16);
        const back = await play({ kind: "lookup", calling: 1 }, (second) => second < 10 ? 0 : 1, 20);
        // Of the 1,000 requests after the return, more than nine in ten.
        expect(back.served).to.be.above(900);
    });

    it("sends everything while a third of the runs ends well", async () => {
        const { offered, sent } = await play({ kind: "first", calling: 0.5 }, () => 0, 10);
        expect(sent / offered).to.be.above(0.97);
    });
});
