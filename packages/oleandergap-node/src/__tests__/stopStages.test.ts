import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { runStopStages } from "../stopStages.js";

const STOP = { serveMs: 1500, serveLongestMs: 3500, acceptMs: 2300, lingerMs: 500, drainTimeoutMs: 5600 };

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
            hasSubstitute: () => true,
            closeGate: () => {
                note("gate closed")();
                return gate;
            },
            refuseCallers: note("callers refused"),
            canIdentifyLocalTarget: true,
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
            hasSubstitute: () => false,
            closeGate: async () => events.push("gate closed"),
            refuseCallers: () => events.push("callers refused"),
            canIdentifyLocalTarget: true,
        };
        const stopped = runStopStages(clock, STOP, stages, limit.signal);
        limit.abort();
        await stopped;
        expect(events).to.have.members(["gate closed", "callers refused"]);
    });

    // Symptom: all requests of a service are refused for a second while nodes restart in turn.
    // Sequence: the nodes of its two targets are told to stop a second apart; the second gate closes before the first
    //   node is back.
    // Cause: each node closes its gate after the same time, whatever the others do.
    it("keeps the gate of a service's last target open until another one is back, and not for ever", async () => {
        const clock = createManualClock();
        const closeTimes: number[] = [];
        const startedAt = clock.monotonic();
        const run = (isBackAfterMs: number): Promise<void> => runStopStages(clock, STOP, {
            hasSubstitute: () => clock.monotonic() - startedAt >= isBackAfterMs,
            closeGate: async () => closeTimes.push(clock.monotonic() - startedAt),
            refuseCallers: () => undefined,
            canIdentifyLocalTarget: true,
        }, new AbortController().signal);
        const all = Promise.all([run(0), run(2600), run(60_000)]);
        await clock.advance(6000);
        await all;
        expect(closeTimes).to.deep.equal([1500, 2600, 3500]);
    });

    // Symptom: in the last second of a stopping node's gate, two thirds of the runs behind it fail.
    // Sequence: a node whose callers and target look alike stops; its gate serves on, as no other target is there yet;
    //   callers are refused, and with them the calls that the runs at its target make.
    // Cause: callers were refused at a fixed time, whatever still ran at the gate.
    it("accepts callers until the gate is empty where the target is not known from them", async () => {
        const clock = createManualClock();
        const startedAt = clock.monotonic();
        const refusedAt: number[] = [];
        const { signal } = new AbortController();
        const run = (hasSubstitute: boolean, runsMs: number): Promise<void> => runStopStages(clock, STOP, {
            hasSubstitute: () => hasSubstitute,
            closeGate: () => clock.sleep(runsMs, signal),
            refuseCallers: () => refusedAt.push(clock.monotonic() - startedAt),
            canIdentifyLocalTarget: false,
        }, signal);
        // The gate closes at 1500 and is empty at 1700 and 3200; without a substitute it closes at 3500.
        const all = Promise.all([run(true, 200), run(true, 1700), run(false, 400)]);
        await clock.advance(8000);
        await all;
        expect(refusedAt).to.deep.equal([2300, 3200, 3500]);
    });
});
