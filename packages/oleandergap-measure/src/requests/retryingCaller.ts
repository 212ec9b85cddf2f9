/** A caller that retries a request with the same idempotency key until its result is conclusive. */
import type { Caller, CallRequest, CallResult, GatewayAddress } from "oleandergap-standins";
import type { Clock, Milliseconds } from "oleandergap-types";
import { pickOne, type Random } from "oleandergap-utils";
import { readVerdict } from "./verdictLedger.js";

/** Options of a retrying caller. */
export interface RetryingCallerOptions {
    readonly caller: Caller;
    /** Returns the gateways for retries and concurrent duplicates; one is chosen at random for each. */
    readonly gateways: () => readonly GatewayAddress[];
    readonly clock: Clock;
    readonly random: Random;
    /** Share of the requests that are sent twice concurrently, through two gateways. */
    readonly duplicateShare: number;
    readonly signal: AbortSignal;
}

/** Maximum number of attempts per request, including the first. The result of the last one is returned. */
export const MAX_ATTEMPTS = 5;
const MAX_RETRY_DELAY_MS: Milliseconds = 1000;
const DEFAULT_RETRY_DELAY_MS: Milliseconds = 200;

/** Returns whether the result is a complete response or the verdict that the request ran. */
const isConclusive = (result: CallResult): boolean => result.kind !== "Failed" && readVerdict(result) === "ran";

const getRetryDelay = (result: CallResult): Milliseconds =>
    Math.min(
        MAX_RETRY_DELAY_MS,
        (result.kind === "Refused" ? result.retryAfterMs : undefined) ?? DEFAULT_RETRY_DELAY_MS,
    );

/** Creates a retrying caller. Latencies are measured from the first attempt to the last result. */
export const createRetryingCaller = (options: RetryingCallerOptions): Caller => {
    const { caller, gateways, clock, random, duplicateShare, signal } = options;

    const callUntilConclusive = async (firstGateway: GatewayAddress, request: CallRequest): Promise<CallResult> => {
        const startedAt = clock.monotonic();
        let result = await caller.call(firstGateway, request);
        for (let attempt = 2; attempt <= MAX_ATTEMPTS && !isConclusive(result) && !signal.aborted; attempt++) {
            await clock.sleep(getRetryDelay(result), signal);
            result = await caller.call(pickOne(random, gateways()) ?? firstGateway, request);
        }
        return { ...result, latencyMs: clock.monotonic() - startedAt };
    };

    return {
        call: async (gateway, request) => {
            if (random() >= duplicateShare) {
                return callUntilConclusive(gateway, request);
            }
            const otherGateway = pickOne(random, gateways()) ?? gateway;
            const results = await Promise.all([
                callUntilConclusive(gateway, request),
                callUntilConclusive(otherGateway, request),
            ]);
            return results.find(isConclusive) ?? results[0];
        },
        close: caller.close,
    };
};
