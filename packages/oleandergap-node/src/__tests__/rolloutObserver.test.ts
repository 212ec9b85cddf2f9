import * as either from "fp-ts/lib/Either.js";
import { expect } from "chai";
import type { RunOutcome } from "oleandergap-rollout";
import type { RequestFailure } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import type { GateRequest } from "../gate/gateRequest.js";
import { createRolloutObserver } from "../gate/rolloutObserver.js";
import { createBufferedBody, discardBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { LocalTarget } from "../target/localTarget.js";

const COLD_START_MS = 3000;
const lostAnswer: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "reset" };

describe("the observer of roll-outs at a gate", () => {
    const clock = createManualClock();
    let outcomes: RunOutcome[];
    let stoppedVersion: string | undefined;
    let hasRollouts = true;
    const observer = createRolloutObserver({
        clock,
        coldStartMs: COLD_START_MS,
        rollouts: {
            hasRollouts: () => hasRollouts,
            mayServe: (_service, version) => version !== stoppedVersion,
            recordRun: (_service, outcome) => outcomes.push(outcome),
        },
    });

    beforeEach(() => {
        outcomes = [];
        stoppedVersion = undefined;
        hasRollouts = true;
    });

    /** Creates a target that started `age` ago. */
    const createTarget = (age = 10_000): LocalTarget => ({
        announcement: {
            partner: "halloway", service: "wills-desk", address: "127.0.0.1", port: 1, slots: 4, connections: 8,
            leaving: false, version: "v2",
        },
        since: clock.now() - age,
    }) as unknown as LocalTarget;

    const createRequest = (changes: Partial<GateRequest> = {}): GateRequest => ({
        kind: "view",
        deadline: clock.monotonic() + 1000,
        signal: new AbortController().signal,
        ...changes,
    }) as GateRequest;

    const answer = (statusCode: number, isStarved = false): either.Either<RequestFailure, UpstreamResponse> =>
        either.right({ statusCode, headers: {}, body: createBufferedBody(Buffer.from("answer")), isStarved });

    /** Observes an outcome after `ranMs` and reads its body. */
    const observe = (
        outcome: either.Either<RequestFailure, UpstreamResponse>,
        { request = createRequest(), target = createTarget(), ranMs = 100 } = {},
    ): void => {
        const startedAt = clock.monotonic();
        clock.freeze(ranMs);
        const observed = observer.observeOutcome(target, request, outcome, startedAt);
        if (either.isRight(observed)) {
            discardBody(observed.right);
        }
    };

    it("refuses requests for a stopped version, and says that they have not run", () => {
        expect(observer.findRefusal(createTarget())).to.equal(undefined);
        stoppedVersion = "v2";
        expect(observer.findRefusal(createTarget())).to.deep.include({ kind: "Refused", verdict: "notRun" });
    });

    it("counts a lost answer as a failure, but not that of a caller who left", () => {
        observe(either.left(lostAnswer));
        const abortController = new AbortController();
        abortController.abort();
        observe(either.left(lostAnswer), { request: createRequest({ signal: abortController.signal }) });
        expect(outcomes).to.deep.equal([{ kind: "view", isFailure: true, latencyMs: undefined }]);
    });

    it("counts a request that reached its deadline as slow, not as failed", () => {
        observe(either.left(lostAnswer), { ranMs: 1000 });
        expect(outcomes).to.deep.equal([{ kind: "view", isFailure: false, latencyMs: 1000 }]);
    });

    it("counts nothing for a request that has not run", () => {
        observe(either.left({ kind: "ConnectFailed", verdict: "notRun", detail: "refused" }));
        expect(outcomes).to.deep.equal([]);
    });

    it("counts nothing for a response that failed for want of another service", () => {
        observe(answer(500, true));
        expect(outcomes).to.deep.equal([]);
    });

    it("does nothing while no roll-out was ordered", () => {
        hasRollouts = false;
        const outcome = answer(200);
        expect(observer.observeOutcome(createTarget(), createRequest(), outcome, 0)).to.equal(outcome);
    });

    it("leaves out the latency of a target that has just started", () => {
        observe(answer(200), { target: createTarget(1000) });
        expect(outcomes).to.deep.equal([{ kind: "view", isFailure: false, latencyMs: undefined }]);
    });
});
