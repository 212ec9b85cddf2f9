import { deflateRawSync } from "node:zlib";
import { expect } from "chai";
import fc from "fast-check";
import { createRolloutStore } from "../exchange/rolloutStore.js";
import { decodeRollout, encodeReports, encodeRollouts, rolloutMessageSchema } from "../exchange/rolloutMessage.js";
import { createOutcomeCounter } from "../judge/outcomeCounter.js";
import { MAX_KINDS } from "../judge/tally.js";
import { isFinal, mergeRollout, rolloutStateSchema, type Rollout } from "../rollout.js";
import { createOrder, createReport, createRollout } from "./support.js";

/** Size of the largest datagram that nodes exchange. */
const MAX_DATAGRAM_BYTES = 1192;
const FRAME_BYTES = 100;

const rolloutArbitrary: fc.Arbitrary<Rollout> = fc.record({
    id: fc.constantFrom("order-1", "order-2"),
    orderedAt: fc.integer({ min: 0, max: 50 }),
    state: fc.constantFrom(...rolloutStateSchema.options),
    since: fc.integer({ min: 0, max: 50 }),
}).map(({ id, orderedAt, state, since }) =>
    createRollout({ order: createOrder({ id }), orderedAt, state, since }));

describe("the record of a roll-out", () => {
    it("never leaves a final state of an order, whatever arrives later", () => {
        fc.assert(fc.property(fc.array(rolloutArbitrary), (received) => {
            let record: Rollout | undefined;
            for (const rollout of received) {
                const next = mergeRollout(record, rollout);
                if (record !== undefined && isFinal(record.state) && next.order.id === record.order.id) {
                    expect(next.state).to.equal(record.state);
                }
                record = next;
            }
        }));
    });

    it("does not change when the same roll-out arrives again", () => {
        fc.assert(fc.property(rolloutArbitrary, (rollout) => {
            expect(mergeRollout(rollout, { ...rollout })).to.equal(rollout);
        }));
    });

    it("keeps the earliest time of an order, so that the deadline does not move", () => {
        const merged = mergeRollout(createRollout({ orderedAt: 50 }), createRollout({ orderedAt: 20 }));
        expect(merged.orderedAt).to.equal(20);
    });

    it("replaces an order by a later one", () => {
        const later = createRollout({ order: createOrder({ id: "order-2" }), orderedAt: 10 });
        expect(mergeRollout(createRollout({ state: "promoting" }), later)).to.equal(later);
        expect(mergeRollout(later, createRollout({ state: "rolledBack" }))).to.equal(later);
    });

    it("ignores reports that are older or name an unknown roll-out", () => {
        const store = createRolloutStore();
        store.merge(createRollout());
        expect(store.addReport("order-1", createReport("a", { sequence: 3 }), 0)).to.equal(true);
        expect(store.addReport("order-1", createReport("a", { sequence: 2 }), 0)).to.equal(false);
        expect(store.addReport("order-1", createReport("a", { epoch: 2, sequence: 1 }), 0)).to.equal(true);
        expect(store.addReport("unknown", createReport("a"), 0)).to.equal(false);
    });
});

describe("the datagrams of roll-outs", () => {
    it("keep the age of an order through clocks that differ", () => {
        const [message] = encodeRollouts([createRollout({ orderedAt: 1000, since: 3000 })], 5000);
        const parsed = rolloutMessageSchema.parse(message);
        const decoded = parsed.kind === "Rollouts" ? parsed.rollouts.map((part) => decodeRollout(part, 90_000)) : [];
        expect(decoded).to.deep.equal([createRollout({ orderedAt: 86_000, since: 88_000 })]);
    });

    it("are small enough with as many reports and kinds of requests as possible", () => {
        const reports = Array.from({ length: 5 }, (_, node) => {
            const counter = createOutcomeCounter();
            for (let request = 0; request < 3000; request++) {
                const kind = `route-number-${request % (MAX_KINDS + 3)}`;
                counter.add({ kind, isFailure: request % 9 === 0, latencyMs: 50 + request * node });
            }
            return createReport(`sidecar-hall-a-${node}`, { epoch: 1_796_313_600_123, sequence: 71, tallies: counter.tallies() });
        });
        const messages = encodeReports("order-1", reports);
        for (const message of messages) {
            expect(rolloutMessageSchema.safeParse(message).success).to.equal(true);
            const { length } = deflateRawSync(JSON.stringify(message));
            expect(length + FRAME_BYTES).to.be.at.most(MAX_DATAGRAM_BYTES);
        }
    });

    it("with counts that cannot be are rejected", () => {
        const report = createReport("a", { slots: -1 });
        expect(rolloutMessageSchema.safeParse({ kind: "Reports", rollout: "x", reports: [report] }).success)
            .to.equal(false);
    });
});
