/**
 * Open-loop load generator: requests arrive at the given rate whether or not earlier requests were answered, like those
 * of many independent callers. A closed loop would slow down together with the system and hide an overload.
 */
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";
import { createSystemClock, pickOne, type Random } from "oleandergap-utils";
import type { Caller } from "./caller.js";
import type { CallRequest, CallResult, GatewayAddress } from "./callResult.js";
import { createReportBuilder, type LoadReport } from "./loadReport.js";

/** Options of a load run. */
export interface LoadOptions {
    readonly caller: Caller;
    readonly random: Random;
    readonly ratePerSecond: number;
    readonly durationMs: Milliseconds;
    /** Returns the gateways to choose from. Called for each request, so that the list may change. */
    readonly gateways: () => readonly GatewayAddress[];
    /** Creates the request with the given index, counted from 0. */
    readonly createRequest: (index: number) => CallRequest;
    readonly onResult?: (result: CallResult) => void;
    /** Stops the arrivals early when it aborts. */
    readonly signal?: AbortSignal;
    /** Maximum number of requests in flight. Arrivals beyond it are counted as not sent, which bounds the memory. */
    readonly maxInFlight?: number;
    readonly clock?: Clock;
}

const DEFAULT_MAX_IN_FLIGHT = 20_000;

/**
 * Number of requests after which a run that is behind schedule yields to the event loop, so that responses are read.
 */
const SENDS_PER_EVENT_LOOP_TURN = 50;

const waitForNextEventLoopTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Draws the time between two arrivals of a Poisson process. */
const drawInterarrivalTime = (random: Random, ratePerSecond: number): Milliseconds =>
    (-Math.log(1 - random()) / ratePerSecond) * MILLISECONDS_PER_SECOND;

/** Sends requests for `durationMs`, waits for all responses, and returns a report. */
export const runLoad = async (options: LoadOptions): Promise<LoadReport> => {
    const { caller, random, gateways, createRequest, maxInFlight = DEFAULT_MAX_IN_FLIGHT } = options;
    const clock = options.clock ?? createSystemClock();
    const signal = options.signal ?? new AbortController().signal;
    const report = createReportBuilder();
    const inFlightCalls = new Set<Promise<void>>();

    const recordResult = (result: CallResult): void => {
        report.add(result);
        options.onResult?.(result);
    };

    const send = (index: number): void => {
        const gateway = pickOne(random, gateways());
        if (gateway === undefined || inFlightCalls.size >= maxInFlight) {
            report.addNotSent();
            return;
        }
        const call: Promise<void> = caller.call(gateway, createRequest(index)).then((result) => {
            inFlightCalls.delete(call);
            recordResult(result);
        });
        inFlightCalls.add(call);
    };

    const startedAt = clock.monotonic();
    const end = startedAt + options.durationMs;
    let index = 0;
    for (
        let nextArrival = startedAt;
        nextArrival < end && !signal.aborted;
        nextArrival += drawInterarrivalTime(random, options.ratePerSecond)
    ) {
        const waitMs = nextArrival - clock.monotonic();
        if (waitMs > 0) {
            await clock.sleep(waitMs, signal);
        }
        else if (index % SENDS_PER_EVENT_LOOP_TURN === 0) {
            await waitForNextEventLoopTurn();
        }
        send(index++);
    }
    const durationMs = clock.monotonic() - startedAt;
    await Promise.all(inFlightCalls);
    return report.build(durationMs);
};
