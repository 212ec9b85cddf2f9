/** Runs one phase of load and measures the figures that all experiments on requests need. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import {
    runLoad,
    type Caller,
    type CallRequest,
    type CallResult,
    type GatewayAddress,
    type LoadReport,
} from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import type { ExperimentContext } from "../experiment.js";
import { createDurationRecorder, type DurationRecorder } from "../durationRecorder.js";

/** Requests, rate and duration of a phase of load. */
export interface LoadPhase {
    readonly caller: Caller;
    /** Called for each request. */
    readonly gateways: () => readonly GatewayAddress[];
    readonly ratePerSecond: number;
    readonly durationMs: Milliseconds;
    /** Timeout of the callers. Later responses do not count as in time. */
    readonly timeoutMs: Milliseconds;
    readonly createRequest: (index: number) => CallRequest;
    readonly onResult?: (result: CallResult) => void;
}

/** Results of the requests of a phase. */
export interface LoadOutcome {
    readonly report: LoadReport;
    /** Latencies of the complete responses that arrived within the callers' timeout. */
    readonly inTime: DurationRecorder;
    /** Latencies of the refusals. */
    readonly refusals: DurationRecorder;
    /** 99th percentile of the event loop delay of this process, which is part of every latency that it measures. */
    readonly callerDelayP99Ms: Milliseconds;
}

const DELAY_RESOLUTION_MS = 1;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Starts to measure the event loop delay. The returned function stops this and returns the 99th percentile. */
const measureEventLoopDelay = (): (() => Milliseconds) => {
    const delays = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
    delays.enable();
    return () => {
        delays.disable();
        // The histogram records the whole time between two ticks, so the resolution is subtracted.
        return Math.max(0, delays.percentile(99) / NANOSECONDS_PER_MILLISECOND - DELAY_RESOLUTION_MS);
    };
};

/** Runs a phase of load. The same seed produces the same arrivals and choices of gateways. */
export const runMeasuredLoad = async (
    { seed, signal }: Pick<ExperimentContext, "seed" | "signal">,
    phase: LoadPhase,
): Promise<LoadOutcome> => {
    const inTime = createDurationRecorder();
    const refusals = createDurationRecorder();
    const stopDelayMeasurement = measureEventLoopDelay();
    const report = await runLoad({
        ...phase,
        random: createSeededRandom(seed),
        signal,
        onResult: (result) => {
            if (result.kind === "Answered" && result.latencyMs <= phase.timeoutMs) {
                inTime.record(result.latencyMs);
            }
            if (result.kind === "Refused") {
                refusals.record(result.latencyMs);
            }
            phase.onResult?.(result);
        },
    });
    return { report, inTime, refusals, callerDelayP99Ms: stopDelayMeasurement() };
};

/** Returns the share of all arrivals that got a complete response within the callers' timeout. */
export const computeInTimeShare = ({ report, inTime }: LoadOutcome): number =>
    inTime.count() / Math.max(1, report.sent + report.notSent);
