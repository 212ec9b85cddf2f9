/** Drives a gate in tests and records the state of each request. */
import * as either from "fp-ts/lib/Either.js";
import type { Limit, Milliseconds, RefusalReason } from "oleandergap-types";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createGate, defaultGateOptions, type Admission, type Gate, type GateOptions } from "../index.js";

export interface TrackedRequest {
    readonly id: number;
    readonly flow: string;
    readonly deadline: Milliseconds;
    readonly disconnect: () => void;
    state: "waiting" | "running" | "ended" | "refused";
    reason: RefusalReason | undefined;
    retryAfterMs: Milliseconds;
    settledAt: Milliseconds;
    /** Number of times that the gate settled the request; more than one is an error. */
    resolutions: number;
    admission: Admission | undefined;
}

export interface GateHarness {
    readonly clock: ManualClock;
    readonly gate: Gate;
    readonly requests: TrackedRequest[];
    readonly submit: (flow?: string, timeoutMs?: Milliseconds) => Promise<TrackedRequest>;
    readonly release: (request: TrackedRequest, outcome?: Parameters<Admission["release"]>[0]) => Promise<void>;
    /** Submits and answers requests one at a time, so that the gate measures the service time. */
    readonly addServiceTimeSamples: (serviceMs: Milliseconds, count?: number) => Promise<void>;
    readonly listInState: (state: TrackedRequest["state"]) => readonly TrackedRequest[];
}

export const testLimit: Limit = { concurrency: 100, queue: 8, timeoutMs: 1000, retryRatio: 0.1 };

export const createGateHarness = (
    slots: number,
    limit: Partial<Limit> = {},
    options: Partial<GateOptions> = {},
): GateHarness => {
    const clock = createManualClock();
    const gate = createGate({
        clock,
        slots,
        limit: { ...testLimit, ...limit },
        options: { ...defaultGateOptions, ...options },
    });
    const requests: TrackedRequest[] = [];

    const submit = async (flow = "halloway", timeoutMs = 1_000_000): Promise<TrackedRequest> => {
        const controller = new AbortController();
        const request: TrackedRequest = {
            id: requests.length,
            flow,
            deadline: clock.monotonic() + timeoutMs,
            disconnect: () => controller.abort(),
            state: "waiting",
            reason: undefined,
            retryAfterMs: 0,
            settledAt: 0,
            resolutions: 0,
            admission: undefined,
        };
        requests.push(request);
        const { deadline } = request;
        void gate.admit({ partner: flow, service: "caller", deadline, signal: controller.signal }).then((decision) => {
            request.resolutions += 1;
            request.settledAt = clock.monotonic();
            if (either.isRight(decision)) {
                request.state = "running";
                request.admission = decision.right;
            }
            else if (decision.left.kind === "Refused") {
                request.state = "refused";
                request.reason = decision.left.reason;
                request.retryAfterMs = decision.left.retryAfterMs;
            }
        });
        await clock.advance(0);
        return request;
    };

    const release: GateHarness["release"] = async (request, outcome = "Answered") => {
        request.state = "ended";
        request.admission?.release(outcome);
        await clock.advance(0);
    };

    const addServiceTimeSamples = async (serviceMs: Milliseconds, count = 16): Promise<void> => {
        for (let completed = 0; completed < count; completed++) {
            const request = await submit();
            await clock.advance(serviceMs);
            await release(request);
        }
        requests.length = 0;
    };

    const listInState = (state: TrackedRequest["state"]): readonly TrackedRequest[] =>
        requests.filter((request) => request.state === state);

    return { clock, gate, requests, submit, release, addServiceTimeSamples, listInState };
};
