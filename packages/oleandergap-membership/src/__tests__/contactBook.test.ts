// Guards against probing a zone twice: each zone is probed once per second for the digest of its targets, and
// again in its regular round if the round ignores those probes. Idle nodes would then send as many contact probes as
// all other datagrams together.
import { expect } from "chai";
import type { Clock, Milliseconds, ZoneName } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createContactBook, type ContactBook } from "../contactBook.js";
import type { Messenger } from "../messenger.js";
import { membershipOptionsSchema } from "../options.js";

const LOCAL_ZONE: ZoneName = "zone-a";
const REMOTE_ZONES: readonly ZoneName[] = ["zone-b", "zone-c", "zone-d", "zone-e"];
const TICK_MS: Milliseconds = 100;
const PERIOD_MS: Milliseconds = 500;

interface Harness {
    readonly contactBook: ContactBook;
    readonly countProbes: () => number;
    /** Runs ticks for `duration` and calls `eachTick` with the time elapsed since the start. */
    readonly run: (duration: Milliseconds, eachTick?: (elapsedMs: Milliseconds) => void) => Promise<void>;
}

const createHarness = (): Harness => {
    const clock = createManualClock();
    let probes = 0;
    const messenger: Messenger = {
        send: (_to, body) => {
            probes += body.kind === "ContactProbe" ? 1 : 0;
            return 0;
        },
        sendRecords: () => undefined,
    };
    const contactBook = createContactBook({
        selfId: "node-a",
        localZone: LOCAL_ZONE,
        clock: clock satisfies Clock,
        random: createSeededRandom(7),
        options: membershipOptionsSchema.parse({ contactProbePeriodMs: PERIOD_MS }),
        messenger,
        sources: { find: () => undefined, resetBackoff: () => undefined },
    });
    const markAllLive = (): void => REMOTE_ZONES.forEach((zone, index) =>
        contactBook.markLive({ id: `node-${zone}`, zone, address: `10.0.${index}.1`, controlPort: 7000 }));
    const { signal } = new AbortController();
    const run: Harness["run"] = async (duration, eachTick = () => undefined) => {
        for (let elapsedMs = 0; elapsedMs < duration; elapsedMs += TICK_MS) {
            markAllLive();
            eachTick(elapsedMs);
            contactBook.poll(signal);
            await clock.advance(TICK_MS);
        }
    };
    return { contactBook, countProbes: () => probes, run };
};

describe("createContactBook", () => {
    it("probes each zone in its round if there are no other probes", async () => {
        const { countProbes, run } = createHarness();
        await run(10_000);
        expect(countProbes()).to.be.within(15, 27);
    });

    it("skips the round of a zone that was probed shortly before", async () => {
        const { contactBook, countProbes, run } = createHarness();
        let probesOutsideRounds = 0;
        await run(10_000, (elapsedMs) => {
            if (elapsedMs % 800 === 0) {
                REMOTE_ZONES.forEach((zone) => contactBook.probeZone(zone));
                probesOutsideRounds += REMOTE_ZONES.length;
            }
        });
        // Probing these zones in their rounds as well would add 20 probes.
        expect(countProbes() - probesOutsideRounds).to.be.at.most(4);
    });
});
