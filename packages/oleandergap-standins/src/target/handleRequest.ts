/**
 * Handles one request at a target: sheds it, rejects it as expired, cancels it, runs it and sends the response, or
 * applies a fault.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    REASON_HEADER,
    REQUEST_ID_HEADER,
    TARGET_LEAVING_HEADER,
    TARGET_LIMIT_HEADER,
    VERDICT_HEADER,
    type Clock,
    type Milliseconds,
    type RefusalReason,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { formatRetryAfterHeaders } from "../http/formatRetryAfter.js";
import { readPath, sendJson } from "../http/jsonHttp.js";
import { sendEcho, summariseBody } from "./echo.js";
import type { TargetFaults, TargetOptions } from "./options.js";
import { readRequestHeaders, type RequestHeaders } from "./requestHeaders.js";
import type { RunLog } from "./runLog.js";
import { drawServiceTime } from "./serviceTime.js";

/** Counters of a target since its start. */
export interface TargetCounters {
    /** Requests that arrived, whatever their outcome. */
    received: number;
    /** Requests whose processing started. */
    started: number;
    answered: number;
    shed: number;
    /** Requests refused because their deadline had passed. */
    expired: number;
    /** Requests cancelled because the client disconnected. */
    cancelled: number;
    /** Crashes of the target that were caused by a request. */
    crashes: number;
    /** Requests that arrived after the target had announced that it is leaving. */
    receivedWhileLeaving: number;
    /** Time from the announcement to the last request that `receivedWhileLeaving` counts. */
    lastReceivedWhileLeavingMs: Milliseconds;
    /** Requests currently in flight. */
    inFlight: number;
    /** Maximum number of requests in flight at the same time. */
    peakInFlight: number;
}

/** State that all requests to one target share. */
export interface RequestContext {
    readonly options: TargetOptions;
    readonly clock: Clock;
    readonly random: Random;
    readonly runLog: RunLog;
    readonly counters: TargetCounters;
    readonly startedAt: Milliseconds;
    readonly faults: () => TargetFaults;
    /** Stops the target abruptly, like a killed process. The target restarts automatically. */
    readonly crash: () => void;
}

const SERVICE_UNAVAILABLE = 503;

/** Returns the headers with what the target states about itself. */
const describeFeedback = ({ requestLimit, statesLeaving }: TargetFaults): Record<string, string> => ({
    ...requestLimit === undefined ? {} : { [TARGET_LIMIT_HEADER]: String(requestLimit) },
    ...statesLeaving ? { [TARGET_LEAVING_HEADER]: "yes" } : {},
});

const sendRefusal = (
    context: RequestContext,
    response: ServerResponse,
    reason: RefusalReason,
): void => {
    const retryAfterMs = context.options.serviceTime.medianMs;
    sendJson(response, { error: reason }, SERVICE_UNAVAILABLE, {
        ...describeFeedback(context.faults()),
        [VERDICT_HEADER]: "notRun",
        [REASON_HEADER]: reason,
        ...formatRetryAfterHeaders(retryAfterMs),
    });
};

/** Returns a signal that aborts when the client disconnects before the response is complete. */
const watchDisconnect = (response: ServerResponse): AbortSignal => {
    const disconnected = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            disconnected.abort();
        }
    });
    return disconnected.signal;
};

const computeServiceTime = (context: RequestContext): Milliseconds => {
    const uptimeMs = context.clock.monotonic() - context.startedAt;
    const drawnTime = drawServiceTime(context.options, context.random, uptimeMs) + context.faults().slowByMs;
    // Without load shedding, requests beyond the slots share the capacity of the slots, so that all requests take
    // longer.
    const overloadFactor = context.options.shed ? 1 : Math.max(1, context.counters.inFlight / context.options.slots);
    return drawnTime * overloadFactor;
};

const sendEchoResponse = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
    requestHeaders: RequestHeaders,
    body: { readonly bytes: number; readonly digest: string },
): Promise<void> => {
    const { id, partner, service } = context.options;
    const isTruncated = context.random() < context.faults().cutAnswerShare;
    const echo = {
        target: id,
        partner,
        service,
        method: request.method ?? "",
        path: request.url ?? "",
        ...(requestHeaders.runKey === undefined ? {} : { runKey: requestHeaders.runKey }),
        ...(requestHeaders.requestId === undefined ? {} : { requestId: requestHeaders.requestId }),
        bodyBytes: body.bytes,
        bodyDigest: body.digest,
    };
    const headers = {
        ...describeFeedback(context.faults()),
        ...requestHeaders.requestId === undefined ? {} : { [REQUEST_ID_HEADER]: requestHeaders.requestId },
    };
    await sendEcho(response, echo, requestHeaders.answerPadding, headers, isTruncated);
    context.counters.answered += isTruncated ? 0 : 1;
};

const processRequest = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
    requestHeaders: RequestHeaders,
    disconnected: AbortSignal,
): Promise<void> => {
    const body = await summariseBody(request);
    context.counters.started += 1;
    context.runLog.record(requestHeaders.runKey, requestHeaders.requestId);
    await context.clock.sleep(computeServiceTime(context), disconnected);
    if (context.random() < context.faults().hangShare) {
        await new Promise<void>((resolve) => disconnected.addEventListener("abort", () => resolve(), { once: true }));
    }
    if (disconnected.aborted) {
        context.counters.cancelled += 1;
        return;
    }
    if (readPath(request) === context.faults().crashPath) {
        context.counters.crashes += 1;
        context.crash();
        return;
    }
    await sendEchoResponse(context, request, response, requestHeaders, body);
};

const shouldShed = ({ options, counters, random, faults }: RequestContext): boolean =>
    (options.shed && counters.inFlight >= options.slots) || random() < faults().shedShare;

/** Handles one request. Never rejects: a broken connection is one of the simulated faults. */
export const handleRequest = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const { counters } = context;
    const requestHeaders = readRequestHeaders(request);
    if (requestHeaders.timeoutMs !== undefined && requestHeaders.timeoutMs <= 0) {
        counters.expired += 1;
        sendRefusal(context, response, "DeadlinePassed");
        return;
    }
    if (shouldShed(context)) {
        counters.shed += 1;
        sendRefusal(context, response, "QueueFull");
        return;
    }
    counters.inFlight += 1;
    counters.peakInFlight = Math.max(counters.peakInFlight, counters.inFlight);
    try {
        await processRequest(context, request, response, requestHeaders, watchDisconnect(response));
    }
    catch {
        // The request body is incomplete: the request did not run, and the client has disconnected.
        counters.cancelled += 1;
        response.destroy();
    }
    finally {
        counters.inFlight -= 1;
    }
};
