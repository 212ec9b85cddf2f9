import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createDelegator, type Delegator } from "../delegation.js";

const head = { partner: "halloway", sequence: 4, digest: "a".repeat(64) };
const TIMEOUT_MS = 100;

const createCandidate = (id: string): { id: string; zone: string; address: string; controlPort: number } =>
    ({ id, zone: "hall-a", address: "127.0.0.1", controlPort: 1_024 });

interface Harness {
    readonly clock: ManualClock;
    readonly delegator: Delegator;
    /** Candidates to which the version was sent, in order; `self` represents a call of `takeOver`. */
    readonly sent: readonly string[];
    readonly abort: () => void;
}

const startDelegation = (candidates: readonly string[], getSequence: () => number = () => head.sequence): Harness => {
    const clock = createManualClock();
    const controller = new AbortController();
    const sent: string[] = [];
    const delegator = createDelegator({
        self: () => "self",
        getSequence,
        clock,
        signal: controller.signal,
    });
    delegator.delegate({
        head,
        candidates: candidates.map(createCandidate),
        timeoutMs: TIMEOUT_MS,
        send: (to) => sent.push(to.id),
        takeOver: () => sent.push("self"),
    });
    return { clock, delegator, sent, abort: () => controller.abort() };
};

describe("createDelegator", () => {
    it("sends once if the candidate acknowledges", async () => {
        const { clock, delegator, sent } = startDelegation(["first", "second"]);
        delegator.acknowledge("first", head);
        await clock.advance(1_000);
        expect(sent).to.deep.equal(["first"]);
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("tries the next candidates, takes over if it is a candidate itself, and stops after five attempts", async () => {
        const { clock, sent } = startDelegation(["first", "second", "self"]);
        await clock.advance(1_000);
        expect(sent).to.deep.equal(["first", "second", "self"]);
        const alone = startDelegation(["only"]);
        await alone.clock.advance(10_000);
        expect(alone.sent).to.deep.equal(["only", "only", "only", "only", "only"]);
    });

    it("ignores acknowledgements of lower versions and from other candidates", async () => {
        const { clock, delegator, sent } = startDelegation(["first", "second"]);
        delegator.acknowledge("first", { ...head, sequence: 3 });
        delegator.acknowledge("second", head);
        await clock.advance(TIMEOUT_MS);
        expect(sent).to.deep.equal(["first", "second"]);
    });

    it("stops delegating a version once a higher one is in force", async () => {
        let inForce = head.sequence;
        const { clock, sent } = startDelegation(["first", "second"], () => inForce);
        inForce = 5;
        await clock.advance(1_000);
        expect(sent).to.deep.equal(["first"]);
    });

    it("sends nothing if its timer fires much too late", async () => {
        // Guards against a node that sends an outdated version. The node freezes while it waits for an acknowledgement,
        // and its timer fires minutes later.
        const { clock, sent } = startDelegation(["first", "second"]);
        clock.freeze(120_000);
        await clock.advance(1_000);
        expect(sent).to.deep.equal(["first"]);
    });

    it("stops when the signal aborts", async () => {
        const { clock, sent, abort } = startDelegation(["first", "second"]);
        abort();
        await clock.advance(1_000);
        expect(sent).to.deep.equal(["first"]);
        expect(clock.pendingTimers()).to.equal(0);
    });
});
