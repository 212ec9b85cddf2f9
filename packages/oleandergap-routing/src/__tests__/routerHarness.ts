/** Test harness for the request router, with predefined attempt results. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { NodeId, RefusalReason, RequestFailure } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import {
    createRequestRouter,
    createTargetPicker,
    defaultRoutingOptions,
    type RequestExecution,
    type RoutableTarget,
    type Routed,
    type RoutedFailure,
} from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

export const refused = (reason: RefusalReason, retryAfterMs = 100): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs });
export const connectFailed: RequestFailure = { kind: "ConnectFailed", verdict: "notRun", detail: "refused" };
export const answerLost: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "reset" };
export const answerCut: RequestFailure = { kind: "AnswerCut", verdict: "ran", detail: "cut" };

/** Result of one attempt; an undefined failure means a response. */
export interface ScriptedAttempt {
    readonly failure: RequestFailure | undefined;
    readonly retriedDownstream?: boolean;
    readonly takesMs?: number;
}

export const successful: ScriptedAttempt = { failure: undefined };

export interface ExecutionRecord {
    readonly result: Either<RoutedFailure, Routed<string>>;
    readonly attemptedNodeIds: readonly NodeId[];
}

export interface RouterHarness {
    readonly clock: ManualClock;
    /** Routes one request. The n-th attempt ends with the n-th result, or with a response if there is none. */
    readonly execute: (
        script: readonly ScriptedAttempt[],
        overrides?: Partial<RequestExecution<RoutableTarget>>,
    ) => Promise<ExecutionRecord>;
}

export const createRouterHarness = (targetCount = 8, retryRatio = 0.1, retryReserve = 10): RouterHarness => {
    const clock = createManualClock();
    const picker = createTargetPicker<RoutableTarget>({
        localZone: "hall-a",
        clock,
        random: createSeededRandom(1),
    });
    const router = createRequestRouter({ clock, picker, options: { ...defaultRoutingOptions.retry, retryReserve } });
    const targets = createTargets("hall-a", targetCount);
    const row = createRow({ "hall-a": 1 }, retryRatio);

    const execute: RouterHarness["execute"] = async (script, overrides = {}) => {
        const attemptedNodeIds: NodeId[] = [];
        const result = await router.execute<string>({
            service: testService,
            row,
            targets,
            idempotent: true,
            canReplayBody: () => true,
            deadline: clock.monotonic() + 1000,
            retriesAllowed: true,
            signal: new AbortController().signal,
            ...overrides,
        }, async (target) => {
            const attempt = script[attemptedNodeIds.length] ?? successful;
            attemptedNodeIds.push(target.nodeId);
            clock.freeze(attempt.takesMs ?? 1);
            return {
                outcome: attempt.failure === undefined ? either.right("answer") : either.left(attempt.failure),
                load: undefined,
                retriedDownstream: attempt.retriedDownstream ?? false,
            };
        });
        return { result, attemptedNodeIds };
    };

    return { clock, execute };
};
