import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { runStopStages } from "../stop/stopStages.js";

const STOP = { serveMs: 1500, serveLongestMs: 3500, acceptMs: 2300, lingerMs: 500, drainTimeoutMs: 5600 };

describe("runStopStages", () => {
    // Guards against refused requests with idle targets while nodes restart in sequence. If the gate of a stopping node
    // closes immediately, its healthy target is idle for the two seconds in which callers keep sending requests.
    it("keeps the gate open for some time, and accepts callers until they have switched to other nodes", async () => {
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
            hasSubstitute: () => true,
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

    it("closes everything immediately when the signal aborts", async () => {
        const clock = createManualClock();
        const events: string[] = [];
        const limit = new AbortController();
        const stages = {
            hasSubstitute: () => false,
            closeGate: async () => events.push("gate closed"),
            refuseCallers: () => events.push("callers refused"),
        };
        const stopped = runStopStages(clock, STOP, stages, limit.signal);
        limit.abort();
        await stopped;
        expect(events).to.have.members(["gate closed", "callers refused"]);
    });

    // Guards against refusing all requests of a service while nodes restart in sequence. If the nodes of its two
    // targets stop one second apart and both close their gates after a fixed time, the second gate closes before the
    // first node has restarted.
    it("keeps the gate of a service's last target open until another target is available, up to a limit", async () => {
        const clock = createManualClock();
        const closeTimes: number[] = [];
        const startedAt = clock.monotonic();
        const run = (substituteAfterMs: number): Promise<void> => runStopStages(clock, STOP, {
            hasSubstitute: () => clock.monotonic() - startedAt >= substituteAfterMs,
            closeGate: async () => closeTimes.push(clock.monotonic() - startedAt),
            refuseCallers: () => undefined,
        }, new AbortController().signal);
        const all = Promise.all([run(0), run(2600), run(60_000)]);
        await clock.advance(6000);
        await all;
        expect(closeTimes).to.deep.equal([1500, 2600, 3500]);
    });
});
