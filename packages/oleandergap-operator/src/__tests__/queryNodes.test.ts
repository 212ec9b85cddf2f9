import { expect } from "chai";
import fc from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { queryNodes } from "../client/queryNodes.js";
import type { AttemptResult } from "../client/attempt.js";
import type { NodesResult } from "../client/classifyAttempts.js";

const HEDGE_DELAY_MS = 2000;

/** Result of an attempt at a node and its delay in milliseconds; undefined when the node responds only to an abort. */
interface NodeBehaviour {
    readonly result: AttemptResult<string>;
    readonly after: number | undefined;
}

const tableResult: AttemptResult<string> = { kind: "Answered", answer: either.right("table") };
const notReadyResult: AttemptResult<string> = { kind: "Answered", answer: either.left({ kind: "NotReady", detail: "" }) };
const unauthenticatedResult: AttemptResult<string> = {
    kind: "Answered", answer: either.left({ kind: "Unauthenticated" }),
};
const notSentResult: AttemptResult<string> = { kind: "NotSent", detail: "ECONNREFUSED" };
const timedOutResult: AttemptResult<string> = { kind: "AnswerLost", detail: "no answer in time" };

interface QueryRun {
    readonly clock: ManualClock;
    readonly queriedPorts: number[];
    readonly abortedPorts: number[];
    readonly result: Promise<NodesResult<string>>;
}

const runQuery = (behaviours: readonly NodeBehaviour[], signal = new AbortController().signal): QueryRun => {
    const clock = createManualClock();
    const queriedPorts: number[] = [];
    const abortedPorts: number[] = [];
    const result = queryNodes<string>({
        nodes: behaviours.map((_behaviour, index) => ({ address: "127.0.0.1", port: index })),
        attempt: ({ port }, abort) => new Promise((resolve) => {
            queriedPorts.push(port);
            const behaviour = behaviours[port];
            abort.addEventListener("abort", () => {
                abortedPorts.push(port);
                resolve(timedOutResult);
            });
            if (behaviour?.after !== undefined) {
                clock.after(behaviour.after, () => resolve(behaviour.result));
            }
        }),
        hedgeDelayMs: HEDGE_DELAY_MS,
        clock,
        signal,
    });
    return { clock, queriedPorts, abortedPorts, result };
};

describe("queryNodes", () => {
    it("queries the next node after the hedge delay and aborts the attempt at the unresponsive node", async () => {
        // Guards against commands that hang for the whole timeout while one node is frozen: the first node accepts the
        // connection and never responds, and the second node is queried only after the timeout of the first.
        const { clock, queriedPorts, abortedPorts, result } = runQuery([
            { result: tableResult, after: undefined },
            { result: tableResult, after: 10 },
            { result: tableResult, after: 10 },
        ]);
        await clock.advance(HEDGE_DELAY_MS + 10);
        expect((await result).node?.port).to.equal(1);
        expect(queriedPorts).to.deep.equal([0, 1]);
        expect(abortedPorts).to.include(0);
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("uses a late response of the first node when the other nodes fail", async () => {
        const { clock, result } = runQuery([{ result: tableResult, after: 5000 }, { result: notSentResult, after: 1 }]);
        await clock.advance(5000);
        expect((await result).answer).to.deep.equal(either.right("table"));
    });

    it("queries the next node immediately when a node is down or not ready", async () => {
        const { clock, result } = runQuery([
            { result: notSentResult, after: 0 },
            { result: notReadyResult, after: 0 },
            { result: tableResult, after: 0 },
        ]);
        await clock.advance(0);
        await clock.advance(0);
        expect((await result).node?.port).to.equal(2);
    });

    it("ends when the operator interrupts the command", async () => {
        const interrupt = new AbortController();
        const { result } = runQuery(
            [{ result: tableResult, after: undefined }, { result: tableResult, after: 1 }],
            interrupt.signal,
        );
        interrupt.abort();
        expect((await result).answer).to.have.nested.property("left.kind", "NodeUnreachable");
    });

    it("returns a final response whenever a client that queries all nodes at once would", async () => {
        const behaviour = fc.record({
            result: fc.constantFrom(tableResult, notReadyResult, unauthenticatedResult, notSentResult, timedOutResult),
            after: fc.option(fc.integer({ min: 0, max: 9000 }), { nil: undefined }),
        });
        await fc.assert(fc.asyncProperty(fc.array(behaviour, { minLength: 1, maxLength: 5 }), async (behaviours) => {
            const isFinal = ({ result, after }: NodeBehaviour): boolean =>
                after !== undefined && (result === tableResult || result === unauthenticatedResult);
            const { clock, queriedPorts, result } = runQuery(behaviours);
            await clock.advance(HEDGE_DELAY_MS * behaviours.length + 9000);
            expect(queriedPorts).to.deep.equal(queriedPorts.map((_node, index) => index));
            const hasUnresponsiveNode = behaviours.some(({ after }) => after === undefined);
            if (behaviours.some(isFinal)) {
                const { node } = await result;
                expect(behaviours.filter((_behaviour, index) => index === node?.port).every(isFinal)).to.equal(true);
            }
            else if (!hasUnresponsiveNode) {
                expect(either.isLeft((await result).answer)).to.equal(true);
                expect(queriedPorts).to.have.length(behaviours.length);
            }
        }), { numRuns: 150 });
    });
});
