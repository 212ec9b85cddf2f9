/** Step of the check: verifies that a request for each service is answered by a target of that service. */
import type { CallResult, GatewayAddress } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { pickOne } from "oleandergap-utils";
import { waitForValue } from "../fleet/waitFor.js";
import { mapWithLimit } from "../process/mapWithLimit.js";
import {
    createCheckRequest,
    describeResult,
    listServedServices,
    type CheckContext,
    type ServedService,
} from "./checkContext.js";

/** Maximum time until all nodes can route requests to a target that announced itself. */
const FIRST_RESPONSE_TIMEOUT: Milliseconds = 30_000;
/** Maximum number of retries after refusals. */
const MAX_RETRIES = 10;
const MAX_CONCURRENT_REQUESTS = 8;
/** Retry delay after a refusal that does not specify one. */
const DEFAULT_RETRY_AFTER: Milliseconds = 500;

interface SentCall {
    readonly gateway: GatewayAddress;
    readonly result: CallResult;
}

const callRandomGateway = async (
    { fleet, caller, random }: CheckContext,
    service: ServedService,
    runKey: string,
): Promise<SentCall> => {
    const gateway = pickOne(random, fleet.gateways());
    if (gateway === undefined) {
        throw new Error("no node is running");
    }
    return { gateway, result: await caller.call(gateway, createCheckRequest(service, runKey)) };
};

const describeCall = ({ gateway, result }: SentCall): string =>
    `at gateway ${gateway.address}:${gateway.port} ${describeResult(result)}`;

const formatRunKey = ({ reference }: ServedService, label: string, index: number): string =>
    `${reference.partner}-${reference.service}-${label}-${index}`;

/** Waits until the service answers a request. Earlier refusals are no error, because the fleet is still starting. */
const waitUntilServed = (context: CheckContext, service: ServedService): Promise<CallResult> => {
    const { partner, service: name } = service.reference;
    let attempts = 0;
    let lastResult = "not queried yet";
    const probe = async (): Promise<CallResult | undefined> => {
        const call = await callRandomGateway(context, service, formatRunKey(service, "first", attempts++));
        const { result } = call;
        lastResult = describeCall(call);
        if (result.kind === "Wrong") {
            throw new Error(`${partner}/${name}: ${lastResult}`);
        }
        return result.kind === "Answered" ? result : undefined;
    };
    const description = `${partner}/${name} is served`;
    return waitForValue(
        { description, timeoutMs: FIRST_RESPONSE_TIMEOUT, signal: context.signal },
        probe,
        () => lastResult,
    );
};

/** Sends requests to each service until one is answered. Rejects if a service does not answer in time. */
export const checkEveryService = async (context: CheckContext): Promise<void> => {
    for (const service of listServedServices(context.fleet)) {
        const result = await waitUntilServed(context, service);
        const { partner, service: name } = service.reference;
        context.report(`${partner}/${name}: ${describeResult(result)} in ${Math.round(result.latencyMs)} ms`);
    }
};

/** Targets that answered a series of requests, and the number of retries that were needed. */
export interface RequestSummary {
    readonly targets: readonly string[];
    readonly retries: number;
}

const isRetryable = ({ result }: SentCall): boolean => result.kind === "Refused" && result.verdict === "notRun";

/**
 * Sends one request and retries it after each refusal as not run, with the delay given in the refusal. The first
 * request for a service at a gateway of another zone may receive such a refusal.
 */
const callUntilAnswered = async (
    context: CheckContext,
    service: ServedService,
    runKey: string,
): Promise<{ readonly call: SentCall; readonly retries: number }> => {
    let call = await callRandomGateway(context, service, runKey);
    let retries = 0;
    while (isRetryable(call) && retries < MAX_RETRIES && call.result.kind === "Refused") {
        retries += 1;
        await context.clock.sleep(call.result.retryAfterMs ?? DEFAULT_RETRY_AFTER, context.signal);
        context.signal.throwIfAborted();
        call = { ...call, result: await context.caller.call(call.gateway, createCheckRequest(service, runKey)) };
    }
    return { call, retries };
};

/** Sends `count` requests through random gateways, several concurrently. Rejects unless all are answered. */
export const sendRequests = async (
    context: CheckContext,
    service: ServedService,
    label: string,
    count: number,
): Promise<RequestSummary> => {
    const runKeys = Array.from({ length: count }, (_, index) => formatRunKey(service, label, index));
    const answered = await mapWithLimit(runKeys, MAX_CONCURRENT_REQUESTS, async (runKey) => {
        const { call, retries } = await callUntilAnswered(context, service, runKey);
        if (call.result.kind !== "Answered") {
            throw new Error(`request ${runKey} ${describeCall(call)}`);
        }
        return { target: call.result.target, retries };
    });
    return {
        targets: answered.map(({ target }) => target),
        retries: answered.reduce((sum, { retries }) => sum + retries, 0),
    };
};

/** Returns a human-readable note on the number of retries, or an empty string if there were none. */
export const describeRetries = ({ retries }: RequestSummary): string =>
    retries === 0 ? "" : ` (${retries} retries after refusals as not run)`;
