/** How a target treats one request: shed, expired, cancelled, run and answered, or spoilt by a fault. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    REASON_HEADER,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    type Clock,
    type Milliseconds,
    type RefusalReason,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { formatRetryAfter } from "../http/formatRetryAfter.js";
import { readPath, sendJson } from "../http/jsonHttp.js";
import { sendEcho, summariseBody } from "./echo.js";
import type { TargetFaults, TargetOptions } from "./options.js";
import { readRequestFacts, type RequestFacts } from "./requestFacts.js";
import type { RunLog } from "./runLog.js";
import { drawServiceTime } from "./serviceTime.js";

/** What has happened at a target so far. */
export interface TargetCounters {
    /** Requests that arrived, whatever became of them. */
    received: number;
    /** Requests whose work began. */
    started: number;
    answered: number;
    shed: number;
    /** Refused because their deadline had passed. */
    expired: number;
    /** Broken off because the other side hung up. */
    cancelled: number;
    /** Ends of the target by a request that it ran. */
    crashes: number;
    /** Requests that arrived after the target had said that it is leaving. */
    receivedWhileLeaving: number;
    /** Time from that word to the last such request. */
    lastReceivedWhileLeavingMs: Milliseconds;
    /** Requests held now. */
    inFlight: number;
    /** Most requests ever held at once. */
    peakInFlight: number;
}

/** What all exchanges of one target share. */
export interface ExchangeContext {
    readonly options: TargetOptions;
    readonly clock: Clock;
    readonly random: Random;
    readonly runLog: RunLog;
    readonly counters: TargetCounters;
    readonly startedAt: Milliseconds;
    readonly faults: () => TargetFaults;
    /** Ends the target as a killed process would; it starts again by itself. */
    readonly crash: () => void;
}

const SERVICE_UNAVAILABLE = 503;

const refuse = (
    response: ServerResponse,
    reason: RefusalReason,
    retryAfterMs: Milliseconds,
): void => {
    sendJson(response, { error: reason }, SERVICE_UNAVAILABLE, {
        [VERDICT_HEADER]: "notRun",
        [REASON_HEADER]: reason,
        ...formatRetryAfter(retryAfterMs),
    });
};

/** Aborts when the other side has hung up before the answer was complete. */
const watchHangUp = (response: ServerResponse): AbortSignal => {
    const hungUp = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            hungUp.abort();
        }
    });
    return hungUp.signal;
};

const workTime = (context: ExchangeContext): Milliseconds => {
    const age = context.clock.monotonic() - context.startedAt;
    const drawn = drawServiceTime(context.options, context.random, age) + context.faults().slowByMs;
    // Without shedding, requests beyond the slots share the slots' capacity, so that all of them take longer.
    const crowding = context.options.shed ? 1 : Math.max(1, context.counters.inFlight / context.options.slots);
    return drawn * crowding;
};

const answer = async (
    context: ExchangeContext,
    request: IncomingMessage,
    response: ServerResponse,
    facts: RequestFacts,
    body: { readonly bytes: number; readonly digest: string },
): Promise<void> => {
    const { id, partner, service } = context.options;
    const cut = context.random() < context.faults().cutAnswerShare;
    const echo = {
        target: id,
        partner,
        service,
        method: request.method ?? "",
        path: request.url ?? "",
        ...(facts.runKey === undefined ? {} : { runKey: facts.runKey }),
        ...(facts.requestId === undefined ? {} : { requestId: facts.requestId }),
        bodyBytes: body.bytes,
        bodyDigest: body.digest,
    };
    const headers = facts.requestId === undefined ? {} : { [REQUEST_ID_HEADER]: facts.requestId };
    await sendEcho(response, echo, facts.answerPadding, headers, cut);
    context.counters.answered += cut ? 0 : 1;
};

const run = async (
    context: ExchangeContext,
    request: IncomingMessage,
    response: ServerResponse,
    facts: RequestFacts,
    hungUp: AbortSignal,
): Promise<void> => {
    const body = await summariseBody(request);
    context.counters.started += 1;
    context.runLog.record(facts.runKey, facts.requestId);
    await context.clock.sleep(workTime(context), hungUp);
    if (context.random() < context.faults().hangShare) {
        await new Promise<void>((resolve) => hungUp.addEventListener("abort", () => resolve(), { once: true }));
    }
    if (hungUp.aborted) {
        context.counters.cancelled += 1;
        return;
    }
    if (readPath(request) === context.faults().crashPath) {
        context.counters.crashes += 1;
        context.crash();
        return;
    }
    await answer(context, request, response, facts, body);
};

const isFull = ({ options, counters, random, faults }: ExchangeContext): boolean =>
    (options.shed && counters.inFlight >= options.slots) || random() < faults().shedShare;

/** Carries one request to its end. Never rejects: a broken connection is one of the faults. */
export const handleExchange = async (
    context: ExchangeContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const { counters, options } = context;
    const facts = readRequestFacts(request);
    if (facts.timeoutMs !== undefined && facts.timeoutMs <= 0) {
        counters.expired += 1;
        refuse(response, "DeadlinePassed", options.serviceTime.medianMs);
        return;
    }
    if (isFull(context)) {
        counters.shed += 1;
        refuse(response, "QueueFull", options.serviceTime.medianMs);
        return;
    }
    counters.inFlight += 1;
    counters.peakInFlight = Math.max(counters.peakInFlight, counters.inFlight);
    try {
        await run(context, request, response, facts, watchHangUp(response));
    }
    catch {
        // The request's body broke off: nothing ran, and there is nobody to tell.
        counters.cancelled += 1;
        response.destroy();
    }
    finally {
        counters.inFlight -= 1;
    }
};
