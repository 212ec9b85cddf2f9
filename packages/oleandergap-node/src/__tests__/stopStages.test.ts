import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { runStopStages } from "../stopStages.js";

const STOP = { serveMs: 1500, acceptMs: 2300, lingerMs: 500, drainTimeoutMs: 5600 };

describe("runStopStages", () => {
    // Symptom: while nodes restart one after the other, requests are refused although their targets stand idle.
    // Sequence: a node is told to stop; its callers go on for two seconds; its gate refuses all that while.
    // Cause: the gate closed at once, with the target behind it alive and well.
    it("keeps the gate open for a time, and callers until they have been sent elsewhere", async () => {
        const clock = createManualClock();
        const events: string[] = [];
        let endGate: () => void = () => undefined;
        const gate = new Promise<void>((resolve) => {
            endGate = resolve;
        });
        const note = (event: string) => (): void => {
            events.push(`${event} at ${clock.monotonic() - startedAt}`);
        };
        const startedAt = clock.monotonic();
        const stages = {
            closeGate: () => {
                note("gate closed")();
                return gate;
            },
            refuseCallers: note("callers refused"),
        };
        const stopped = runStopStages(clock, STOP, stages, new AbortController().signal).then(note("stopped"));
        await clock.advance(3000);
        expect(events).to.deep.equal(["gate closed at 1500", "callers refused at 2300"]);
        endGate();
        await stopped;
        expect(events.at(-1)).to.equal("stopped at 3000");
    });

    it("closes everything at once when the time is over", async () => {
        const clock = createManualClock();
        const events: string[] = [];
        const limit = new AbortController();
        const stages = {
            closeGate: async () => events.push("gate closed"),
            refuseCallers: () => events.push("callers refused"),
        };
        const stopped = runStopStages(clock, STOP, stages, limit.signal);
        limit.abort();
        await stopped;
        expect(events).to.have.members(["gate closed", "callers refused"]);
    });
});
