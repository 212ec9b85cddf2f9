import { expect } from "chai";
import fc from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import type { AttemptResult } from "../client/attempt.js";
import type { NodesResult } from "../client/classifyAttempts.js";
import { formatNodeAddress, type NodeAddress } from "../client/nodeAddress.js";
import { sendToNodes } from "../client/sendToNodes.js";
import type { OperatorError } from "../schemas/operatorError.js";

const CHANGE_ID = "change-0001";
const neverAbortedSignal = new AbortController().signal;

const errors: readonly OperatorError[] = [
    { kind: "Unauthenticated" },
    { kind: "Forbidden", detail: "" },
    { kind: "BadRequest", issues: [] },
    { kind: "Conflict", conflicts: [] },
    { kind: "Invalid", problems: [] },
    { kind: "ChangeIdReused", changeId: CHANGE_ID },
    { kind: "OutcomeUnknown", changeId: CHANGE_ID, detail: "" },
    { kind: "PlatformUnavailable", detail: "" },
    { kind: "OverBudget", retryAfterMs: 1 },
    { kind: "Contended", retryAfterMs: 1 },
    { kind: "Damaged", detail: "" },
    { kind: "NotReady", detail: "" },
    { kind: "Internal", detail: "" },
];

const createErrorResult = (error: OperatorError): AttemptResult<string> =>
    ({ kind: "Answered", answer: either.left(error) });
const attemptArbitrary: fc.Arbitrary<AttemptResult<string>> = fc.oneof(
    fc.constantFrom(...errors.map(createErrorResult)),
    fc.constant<AttemptResult<string>>({ kind: "Answered", answer: either.right("accepted") }),
    fc.constant<AttemptResult<string>>({ kind: "NotSent", detail: "ECONNREFUSED" }),
    fc.constant<AttemptResult<string>>({ kind: "AnswerLost", detail: "ECONNRESET" }),
);

const runSend = async (
    results: readonly AttemptResult<string>[],
): Promise<NodesResult<string> & { readonly attemptCount: number }> => {
    const nodes: readonly NodeAddress[] = results.map((_result, index) => ({ address: "127.0.0.1", port: index + 1 }));
    let attemptCount = 0;
    const result = await sendToNodes<string>({
        nodes,
        attempt: ({ port }) => {
            attemptCount += 1;
            return Promise.resolve(results[port - 1] as AttemptResult<string>);
        },
        changeId: CHANGE_ID,
        signal: neverAbortedSignal,
    });
    return { ...result, attemptCount };
};

const getResultKind = (result: AttemptResult<string>): string => {
    if (result.kind !== "Answered") {
        return result.kind;
    }
    return either.isRight(result.answer) ? "Accepted" : result.answer.left.kind;
};

describe("sendToNodes", () => {
    it("sends the change to the next node when a node is down and returns the node that responded", async () => {
        const result = await runSend([
            { kind: "NotSent", detail: "ECONNREFUSED" },
            createErrorResult({ kind: "NotReady", detail: "" }),
            { kind: "Answered", answer: either.right("table") },
            { kind: "Answered", answer: either.right("another") },
        ]);
        expect(result.answer).to.deep.equal(either.right("table"));
        expect(result.node?.port).to.equal(3);
        expect(result.attemptCount).to.equal(3);
    });

    it("lists all failed attempts when no node could be reached", async () => {
        const result = await runSend([
            { kind: "NotSent", detail: "ECONNREFUSED" },
            { kind: "NotSent", detail: "EHOSTUNREACH" },
        ]);
        expect(result.answer).to.deep.equal(either.left({
            kind: "NodeUnreachable",
            attempts: [
                { node: "127.0.0.1:1", detail: "ECONNREFUSED" },
                { node: "127.0.0.1:2", detail: "EHOSTUNREACH" },
            ],
        }));
    });

    it("does not report a change as failed after a lost response", async () => {
        // Guards against reporting that nothing was written, after which the operator sends the change under a new id
        // and overwrites the change of another operator: node 1 accepts the change and its response is lost, and node 2
        // cannot reach the platform. The error of the last node must not be used as the outcome of all attempts.
        const result = await runSend([
            { kind: "AnswerLost", detail: "ECONNRESET" },
            createErrorResult({ kind: "PlatformUnavailable", detail: "down" }),
        ]);
        expect(result.answer).to.deep.equal(either.left({
            kind: "OutcomeUnknown",
            changeId: CHANGE_ID,
            detail: "127.0.0.1:1: ECONNRESET; 127.0.0.1:2: PlatformUnavailable",
        }));
    });

    it("reports a correct outcome for every sequence of attempts", async () => {
        const uncertainKinds = new Set(["AnswerLost", "OutcomeUnknown", "Internal"]);
        const definitiveKinds = new Set(["Accepted", "Conflict", "Invalid", "ChangeIdReused"]);
        const attempts = fc.array(attemptArbitrary, { minLength: 1, maxLength: 5 });
        await fc.assert(fc.asyncProperty(attempts, async (results) => {
            const { answer, attemptCount } = await runSend(results);
            const kinds = results.slice(0, attemptCount).map(getResultKind);
            const outcome = either.isRight(answer) ? "Accepted" : answer.left.kind;
            const last = kinds.at(-1) ?? "";
            if (definitiveKinds.has(last)) {
                expect(outcome).to.equal(last);
            }
            else if (kinds.some((kind) => uncertainKinds.has(kind))) {
                expect(outcome).to.equal("OutcomeUnknown");
            }
            else {
                expect(outcome).to.be.oneOf([...kinds, "NodeUnreachable"]);
            }
            expect(kinds.slice(0, -1).some((kind) => definitiveKinds.has(kind))).to.equal(false);
        }));
    });

    it("sends no request after the operator has interrupted the command", async () => {
        const { answer } = await sendToNodes<string>({
            nodes: [{ address: "127.0.0.1", port: 1 }],
            attempt: () => Promise.reject(new Error("must not be called")),
            changeId: CHANGE_ID,
            signal: AbortSignal.abort(),
        });
        expect(answer).to.deep.equal(either.left({ kind: "NodeUnreachable", attempts: [] }));
    });
});

describe("formatNodeAddress", () => {
    it("puts IPv6 addresses in brackets", () => {
        expect(formatNodeAddress({ address: "::1", port: 17082 })).to.equal("[::1]:17082");
        expect(formatNodeAddress({ address: "127.0.0.1", port: 17082 })).to.equal("127.0.0.1:17082");
    });
});
