import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { answerLost, connectFailed, createRouterHarness, successful, refused, type ScriptedAttempt } from "./routerHarness.js";

const repeatThreeTimes = (scripted: ScriptedAttempt): readonly ScriptedAttempt[] => [scripted, scripted, scripted];

describe("retries under failure", () => {
    // Guards against running a non-idempotent request twice: the connection breaks before the response, and the request
    // is sent to a second target because the error is mistaken for `notRun`.
    it("does not retry a non-idempotent request after its response is lost", async () => {
        const { result, attemptedNodeIds } =
            await createRouterHarness().execute([{ failure: answerLost }], { idempotent: false });
        expect(attemptedNodeIds).to.have.length(1);
        expect(either.isLeft(result) && result.left.failure.verdict).to.equal("mayHaveRun");
    });

    // Guards against reporting `notRun` for a request that took effect: the first target runs it but the response is
    // lost, and the refusal by the second target determines the verdict.
    it("does not report notRun when an earlier attempt may have run", async () => {
        const { result } = await createRouterHarness().execute([
            { failure: answerLost },
            { failure: refused("ClaimUnavailable", 700) },
        ]);
        expect(either.isLeft(result) && result.left).to.deep.include({ attempts: 2, retryAfterMs: 700 });
        expect(either.isLeft(result) && result.left.failure.verdict).to.equal("mayHaveRun");
    });

    // Guards against tripling the load of a service that is down, which happens if every request is retried up to its
    // attempt limit.
    it("stops retrying when a service fails completely", async () => {
        const harness = createRouterHarness();
        let attempts = 0;
        for (let count = 0; count < 500; count++) {
            attempts += (await harness.execute(repeatThreeTimes({ failure: answerLost }))).attemptedNodeIds.length;
        }
        expect(attempts).to.be.at.most(500 + 10);
    });

    // Guards against increasing the load of an overloaded service by retries. Refusals are cheap, so without a limit
    // each request would be sent to every target.
    it("sends a request to at most two overloaded targets, and rarely to the second", async () => {
        const harness = createRouterHarness();
        let attempts = 0;
        for (let count = 0; count < 1000; count++) {
            const script = count % 4 === 0 ? [successful] : repeatThreeTimes({ failure: refused("QueueFull") });
            const { attemptedNodeIds } = await harness.execute(script);
            expect(attemptedNodeIds.length).to.be.at.most(2);
            attempts += attemptedNodeIds.length;
        }
        expect(attempts).to.be.at.most(1000 + 10 + 0.1 * 250);
    });

    // Guards against failing every second request after half of the targets died at once, although the others have
    // capacity. Until ejection, every second attempt is sent to a dead target, and the budget for repeats is spent on
    // attempts that caused no work.
    it("reroutes every second request when half of the targets are down", async () => {
        const harness = createRouterHarness();
        let failed = 0;
        for (let count = 0; count < 400; count++) {
            const script = count % 2 === 0 ? [{ failure: connectFailed }] : [successful];
            failed += either.isLeft((await harness.execute(script)).result) ? 1 : 0;
        }
        expect(failed).to.equal(0);
    });

    // Guards against a failure at the end of a chain of calls that every hop retries, up to 2^27 times, because no hop
    // receives the information that another one has already retried.
    it("retries only at the hop nearest to the failure in a chain of calls", async () => {
        const hops = Array.from({ length: 27 }, () => createRouterHarness());
        let calls = 0;
        const call = async (depth: number): Promise<ScriptedAttempt> => {
            const hop = hops[depth];
            if (hop === undefined) {
                calls += 1;
                return { failure: answerLost };
            }
            const downstreamResult = await call(depth + 1);
            const retried = await hop.execute([downstreamResult, ...repeatThreeTimes({ failure: answerLost })]);
            calls += retried.attemptedNodeIds.length - 1;
            return {
                failure: answerLost,
                retriedDownstream: either.isLeft(retried.result) && retried.result.left.retriedDownstream,
            };
        };
        await call(0);
        expect(calls).to.be.at.most(3);
    });

    // Guards against suggesting a retry delay that is too short, because only the last refusal counts, and refusing the
    // caller's retry again.
    it("suggests the longest retry delay of all refusals", async () => {
        const { result } = await createRouterHarness().execute([
            { failure: refused("QueueFull", 900) },
            { failure: refused("QueueFull", 300) },
        ]);
        expect(either.isLeft(result) && result.left.retryAfterMs).to.equal(900);
        expect(either.isLeft(result) && result.left.failure).to.deep.include({ retryAfterMs: 900 });
    });

    // Guards against sending a truncated or empty body to the second target. The gate refused the request with `notRun`
    // when part of the body had already been sent.
    it("does not retry a request whose body is no longer available", async () => {
        const { attemptedNodeIds } = await createRouterHarness().execute([{ failure: refused("Draining") }], {
            canReplayBody: () => false,
        });
        expect(attemptedNodeIds).to.have.length(1);
    });

    // Guards against running a request twice after a fault in this program: the sending code throws after the request
    // was sent, and the exception is mistaken for `notRun`.
    it("treats an attempt that throws as one that may have run", async () => {
        const { result, attemptedNodeIds } = await createRouterHarness().execute([{
            get failure(): never {
                throw new Error("fault");
            },
        }], { idempotent: false });
        expect(attemptedNodeIds).to.have.length(1);
        expect(either.isLeft(result) && result.left.failure.verdict).to.equal("mayHaveRun");
    });
});
