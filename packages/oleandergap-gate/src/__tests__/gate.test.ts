import { expect } from "chai";
import fastCheck from "fast-check";
import { createGateHarness, testLimit, type GateHarness, type TrackedRequest } from "./gateHarness.js";

type Step =
    | { readonly kind: "Submit"; readonly flow: string; readonly timeoutMs: number }
    | { readonly kind: "Release"; readonly index: number }
    | { readonly kind: "Disconnect"; readonly index: number }
    | { readonly kind: "Wait"; readonly duration: number }
    | { readonly kind: "Limit"; readonly slots: number; readonly queue: number };

const stepArbitrary: fastCheck.Arbitrary<Step> = fastCheck.oneof(
    { weight: 6, arbitrary: fastCheck.record({
        kind: fastCheck.constant("Submit" as const),
        flow: fastCheck.constantFrom("halloway", "kushiro", "third"),
        timeoutMs: fastCheck.integer({ min: 1, max: 300 }),
    }) },
    { weight: 4, arbitrary: fastCheck.record({
        kind: fastCheck.constant("Release" as const),
        index: fastCheck.nat(20),
    }) },
    { weight: 1, arbitrary: fastCheck.record({
        kind: fastCheck.constant("Disconnect" as const),
        index: fastCheck.nat(20),
    }) },
    { weight: 2, arbitrary: fastCheck.record({
        kind: fastCheck.constant("Wait" as const),
        duration: fastCheck.integer({ min: 1, max: 60 }),
    }) },
    { weight: 1, arbitrary: fastCheck.record({
        kind: fastCheck.constant("Limit" as const),
        slots: fastCheck.integer({ min: 1, max: 4 }),
        queue: fastCheck.nat(6),
    }) },
);

/**
 * Reference model of the gate: returns the ids of the waiting requests that may start next, computed from a plain list.
 */
const listExpectedCandidates = (before: readonly TrackedRequest[]): readonly number[] => {
    const countRunning = (flow: string): number =>
        before.filter((request) => request.flow === flow && request.state === "running").length;
    const waiting = before.filter((request) => request.state === "waiting");
    const fewestRunning = Math.min(...waiting.map((request) => countRunning(request.flow)));
    return waiting
        .filter((request) => countRunning(request.flow) === fewestRunning)
        .filter((request) => !waiting.some((other) => other.flow === request.flow && other.id < request.id))
        .map((request) => request.id);
};

const copyRequests = ({ requests }: GateHarness): readonly TrackedRequest[] =>
    requests.map((request) => ({ ...request }));

const runStep = async (harness: GateHarness, step: Step): Promise<void> => {
    switch (step.kind) {
        case "Submit":
            await harness.submit(step.flow, step.timeoutMs);
            return;
        case "Release": {
            const running = harness.listInState("running");
            const request = running[step.index % Math.max(1, running.length)];
            if (request !== undefined) {
                await harness.release(request);
            }
            return;
        }
        case "Disconnect": {
            const waiting = harness.listInState("waiting");
            waiting[step.index % Math.max(1, waiting.length)]?.disconnect();
            await harness.clock.advance(0);
            return;
        }
        case "Wait":
            await harness.clock.advance(step.duration);
            return;
        case "Limit":
            harness.gate.setLimit({ ...testLimit, queue: step.queue }, step.slots);
            await harness.clock.advance(0);
            return;
    }
};

const checkInvariants = (harness: GateHarness): void => {
    const { inFlight, queued, capacity } = harness.gate.load();
    expect(inFlight).to.equal(harness.listInState("running").length);
    expect(queued).to.equal(harness.listInState("waiting").length);
    expect(harness.requests.every((request) => request.resolutions <= 1), "answered once").to.equal(true);
    if (queued > 0) {
        expect(inFlight, "no free slot while requests wait").to.be.at.least(capacity);
    }
};

const listStarted = (harness: GateHarness, before: readonly TrackedRequest[]): readonly TrackedRequest[] =>
    harness.listInState("running").filter(({ id }) => before[id]?.state !== "running");

describe("createGate", () => {
    it("starts, refuses and keeps the same requests as a reference model based on a list", async () => {
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.array(stepArbitrary, { maxLength: 40 }),
            async (steps) => {
                const harness = createGateHarness(2, { queue: 4 });
                for (const step of steps) {
                    const before = copyRequests(harness);
                    await runStep(harness, step);
                    checkInvariants(harness);
                    const started = listStarted(harness, before);
                    if (started.length > 0 && step.kind !== "Limit") {
                        expect(harness.gate.load().inFlight).to.be.at.most(harness.gate.load().capacity);
                    }
                    if (step.kind === "Release" && started.length === 1) {
                        const ended = before.map((request) =>
                            ({ ...request, state: harness.requests[request.id]?.state === "ended" ?
                                "ended" as const :
                                request.state }));
                        const refused = harness.listInState("refused").map(({ id }) => id);
                        const unresolved = ended.filter(({ id }) => !refused.includes(id));
                        expect(listExpectedCandidates(unresolved)).to.include(started[0]?.id);
                    }
                }
                void harness.gate.drain();
                for (let running = harness.listInState("running"); running.length > 0;) {
                    await harness.release(running[0] as TrackedRequest);
                    running = harness.listInState("running");
                }
                await harness.clock.advance(1000);
                expect(harness.listInState("waiting")).to.deep.equal([]);
                expect(harness.requests.every((request) => request.resolutions === 1)).to.equal(true);
            },
        ), { numRuns: 150 });
    });

    it("limits running requests to the slots and the limit, and lets running requests finish after the limit is lowered", async () => {
        const harness = createGateHarness(12, { concurrency: 3 });
        await Promise.all(Array.from({ length: 5 }, () => harness.submit()));
        expect(harness.gate.load()).to.deep.include({ inFlight: 3, queued: 2, capacity: 3 });
        harness.gate.setLimit({ ...testLimit, concurrency: 1 }, 12);
        expect(harness.gate.load()).to.deep.include({ inFlight: 3, queued: 2, capacity: 1 });
        await harness.release(harness.requests[0] as TrackedRequest);
        await harness.release(harness.requests[1] as TrackedRequest);
        expect(harness.gate.load()).to.deep.include({ inFlight: 1, queued: 2 });
        await harness.release(harness.requests[2] as TrackedRequest);
        expect(harness.gate.load()).to.deep.include({ inFlight: 1, queued: 1 });
    });

    it("shares the target fairly between flows when one of them floods the queue", async () => {
        const harness = createGateHarness(4, { queue: 8 });
        for (let count = 0; count < 20; count++) {
            await harness.submit("halloway");
        }
        for (let count = 0; count < 4; count++) {
            await harness.submit("kushiro");
        }
        expect(harness.listInState("waiting").filter(({ flow }) => flow === "kushiro")).to.have.length(4);
        expect(harness.listInState("refused").map(({ reason }) => reason)).to.include("FairShareExceeded");
        for (let count = 0; count < 4; count++) {
            await harness.release(
                harness.listInState("running").find(({ flow }) => flow === "halloway") as TrackedRequest,
            );
        }
        const shares = ["halloway", "kushiro"].map((name) =>
            harness.listInState("running").filter(({ flow }) => flow === name).length);
        expect(shares).to.deep.equal([2, 2]);
    });

    // After this process stood still, the timer that refuses the waiting requests fires late.
    it("starts no waiting request once the time for that has passed, before they are refused", async () => {
        const harness = createGateHarness(1);
        const running = await harness.submit();
        const waiting = await harness.submit();
        void harness.gate.drain(100);
        expect(harness.gate.mayStart()).to.equal(true);
        await harness.clock.advance(100);
        await harness.release(running);
        expect(harness.gate.mayStart()).to.equal(false);
        expect(waiting.state).to.equal("waiting");
        harness.gate.refuseWaiting();
        await harness.clock.advance(0);
        expect(waiting).to.include({ state: "refused", reason: "Draining" });
    });

    it("refuses new requests while draining, and resolves after running and waiting requests have finished", async () => {
        const harness = createGateHarness(1);
        await harness.submit();
        await harness.submit();
        let isEmpty = false;
        void harness.gate.drain().then(() => {
            isEmpty = true;
        });
        expect((await harness.submit()).reason).to.equal("Draining");
        await harness.release(harness.requests[0] as TrackedRequest);
        expect([harness.requests[1]?.state, isEmpty]).to.deep.equal(["running", false]);
        await harness.release(harness.requests[1] as TrackedRequest);
        expect(isEmpty).to.equal(true);
    });

    it("releases a slot only once when release is called repeatedly", async () => {
        const harness = createGateHarness(1);
        const first = await harness.submit();
        await harness.submit();
        await harness.submit();
        await harness.release(first);
        await harness.release(first);
        expect(harness.gate.load()).to.deep.include({ inFlight: 1, queued: 1 });
    });

    it("gives refused requests different retry times, one service interval apart", async () => {
        const harness = createGateHarness(2, { queue: 4 });
        await harness.addServiceTimeSamples(100);
        for (let count = 0; count < 6; count++) {
            await harness.submit();
        }
        const times = [];
        for (let count = 0; count < 3; count++) {
            times.push((await harness.submit()).retryAfterMs);
        }
        expect(times).to.deep.equal([250, 300, 350]);
    });
});
