import { expect } from "chai";
import fastCheck from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import type { RequestFailure, Verdict } from "oleandergap-types";
import {
    answerCut,
    answerLost,
    connectFailed,
    createRouterHarness,
    successful,
    refused,
    type ExecutionRecord,
    type ScriptedAttempt,
} from "./routerHarness.js";

const getVerdict = ({ result }: ExecutionRecord): Verdict =>
    either.isRight(result) ? "ran" : result.left.failure.verdict;

const getFailure = ({ result }: ExecutionRecord): RequestFailure | undefined =>
    either.isLeft(result) ? result.left.failure : undefined;

const failures: readonly (RequestFailure | undefined)[] = [
    undefined,
    refused("QueueFull"),
    refused("Draining"),
    refused("DeadlineTooShort"),
    connectFailed,
    answerLost,
    answerCut,
    { kind: "BadRequest", verdict: "notRun", detail: "bad" },
    { kind: "DuplicateKey", verdict: "mayHaveRun", retryAfterMs: 10 },
];

const scriptArbitrary = fastCheck.array(fastCheck.record({
    failure: fastCheck.constantFrom(...failures),
    retriedDownstream: fastCheck.boolean(),
    takesMs: fastCheck.integer({ min: 1, max: 600 }),
}), { minLength: 4, maxLength: 4 });

/** Returns the worst verdict of all attempts. */
const findWorstVerdict = (attempts: readonly ScriptedAttempt[]): Verdict => {
    const verdicts = attempts.map(({ failure }) => failure?.verdict ?? "ran");
    if (verdicts.includes("ran")) {
        return "ran";
    }
    return verdicts.includes("mayHaveRun") ? "mayHaveRun" : "notRun";
};

/** Returns whether a rule forbids another attempt after `attempted`, regardless of the retry budget. */
const isRetryForbidden = (attempted: ScriptedAttempt, idempotent: boolean, replayable: boolean): boolean => {
    const verdict = attempted.failure?.verdict ?? "ran";
    const isNonRetryable = attempted.failure?.kind === "BadRequest" || attempted.failure?.kind === "DuplicateKey";
    const isUnsafe = verdict === "ran" || (verdict === "mayHaveRun" && !idempotent);
    return isUnsafe || isNonRetryable || !replayable || attempted.retriedDownstream === true;
};

describe("createRequestRouter", () => {
    it("respects verdicts, the deadline and distinct targets for all attempt results", async () => {
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.array(
                fastCheck.record({
                    script: scriptArbitrary,
                    idempotent: fastCheck.boolean(),
                    replayable: fastCheck.boolean(),
                }),
                { minLength: 1, maxLength: 30 },
            ),
            async (requests) => {
                const harness = createRouterHarness();
                let extraAttempts = 0;
                let successes = 0;
                for (const { script, idempotent, replayable } of requests) {
                    const deadline = harness.clock.monotonic() + 1000;
                    const record = await harness.execute(script, { idempotent, canReplayBody: () => replayable });
                    const attempted = script.slice(0, record.attemptedNodeIds.length);
                    expect(new Set(record.attemptedNodeIds).size).to.equal(record.attemptedNodeIds.length);
                    expect(getVerdict(record)).to.equal(findWorstVerdict(attempted));
                    for (const earlier of attempted.slice(0, -1)) {
                        expect(isRetryForbidden(earlier, idempotent, replayable)).to.equal(false);
                    }
                    const spent = attempted.slice(0, -1).reduce((sum, { takesMs }) => sum + (takesMs ?? 0), 0);
                    expect(spent).to.be.below(1000);
                    expect(harness.clock.monotonic()).to.be.at.most(deadline + 600);
                    extraAttempts += record.attemptedNodeIds.length - 1;
                    successes += either.isRight(record.result) ? 1 : 0;
                }
                expect(extraAttempts).to.be.at.most(2 * 10 + 1.1 * successes);
            },
        ), { numRuns: 100 });
    });

    it("counts attempts and reports to upstream hops whether retries were handled", async () => {
        const harness = createRouterHarness();
        const first = await harness.execute([successful]);
        expect(first.result).to.deep.equal(either.right({ answer: "answer", attempts: 1, retriedDownstream: false }));
        const second = await harness.execute([{ failure: connectFailed }]);
        expect(second.result).to.deep.equal(either.right({ answer: "answer", attempts: 2, retriedDownstream: true }));
    });

    it("sends nothing when the deadline has passed or the caller has disconnected", async () => {
        const harness = createRouterHarness();
        const expired = await harness.execute([], { deadline: harness.clock.monotonic() });
        const disconnected = await harness.execute([], { signal: AbortSignal.abort() });
        expect([expired.attemptedNodeIds, disconnected.attemptedNodeIds]).to.deep.equal([[], []]);
        expect([getFailure(expired), getFailure(disconnected)]
            .map((failure) => failure?.kind === "Refused" && failure.reason))
            .to.deep.equal(["DeadlinePassed", "Cancelled"]);
    });

    it("does not retry when the row allows no retries", async () => {
        const harness = createRouterHarness(8, 0);
        expect((await harness.execute([{ failure: connectFailed }])).attemptedNodeIds).to.have.length(1);
    });
});
