/**
 * A naive client of a service. It sends requests directly to the targets in round-robin order, relies on their health
 * endpoints, and retries every error up to three times, even if the request may have run.
 */
import type { TargetReport } from "oleandergap-standins";
import { createCaller, type Caller, type CallRequest, type CallResult } from "oleandergap-standins";
import { formatServiceReference, type Clock, type Milliseconds } from "oleandergap-types";
import { request } from "undici";

/** Number of retries after the first attempt. */
export const MAX_RETRIES = 3;
const HEALTH_CHECK_PERIOD_MS: Milliseconds = 1000;
const HTTP_OK = 200;

interface Endpoint {
    readonly service: string;
    readonly address: string;
    readonly port: number;
    isHealthy: boolean;
}

/** Options of a naive caller. Its health checks end when `signal` aborts. */
export interface NaiveCallerOptions {
    readonly clock: Clock;
    /** All targets, as in a list kept by operators. The caller does not update it. */
    readonly targets: readonly TargetReport[];
    readonly signal: AbortSignal;
}

const checkHealth = async (endpoint: Endpoint): Promise<void> => {
    try {
        const response = await request(`http://${endpoint.address}:${endpoint.port}/health`, {
            signal: AbortSignal.timeout(HEALTH_CHECK_PERIOD_MS),
        });
        await response.body.dump();
        endpoint.isHealthy = response.statusCode === HTTP_OK;
    }
    catch {
        endpoint.isHealthy = false;
    }
};

const pollHealth = async (endpoints: readonly Endpoint[], clock: Clock, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
        await Promise.all(endpoints.map(checkHealth));
        await clock.sleep(HEALTH_CHECK_PERIOD_MS, signal);
    }
};

/** Creates a naive caller. `call` ignores its gateway argument; `close` also ends the health checks. */
export const createNaiveCaller = ({ clock, targets, signal }: NaiveCallerOptions): Caller => {
    const caller = createCaller(clock);
    const closeController = new AbortController();
    const endpoints = targets.map((target) => ({
        service: formatServiceReference(target),
        address: target.address,
        port: target.port,
        isHealthy: true,
    }));
    const healthPolling = pollHealth(endpoints, clock, AbortSignal.any([signal, closeController.signal]));
    let nextIndex = 0;

    const pickNextEndpoint = (service: string): Endpoint | undefined => {
        const healthy = endpoints.filter((endpoint) => endpoint.service === service && endpoint.isHealthy);
        return healthy[nextIndex++ % healthy.length];
    };

    const call = async (callRequest: CallRequest): Promise<CallResult> => {
        const startedAt = clock.monotonic();
        let lastResult: CallResult | undefined;
        for (let attempt = 0; attempt <= MAX_RETRIES; attempt++) {
            const endpoint = pickNextEndpoint(formatServiceReference(callRequest.service));
            if (endpoint === undefined) {
                break;
            }
            lastResult = await caller.call(endpoint, callRequest);
            if (lastResult.kind === "Answered") {
                break;
            }
        }
        const latencyMs = clock.monotonic() - startedAt;
        return lastResult === undefined ?
            { kind: "Failed", runKey: callRequest.runKey, latencyMs, verdict: "notRun", detail: "no healthy target" } :
            { ...lastResult, latencyMs };
    };

    return {
        call: (_gateway, callRequest) => call(callRequest),
        close: async () => {
            closeController.abort();
            await healthPolling;
            await caller.close();
        },
    };
};
