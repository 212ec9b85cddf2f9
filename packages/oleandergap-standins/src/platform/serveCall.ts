/** Carries one call to the platform through limits and faults to its effect and its answer. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random, TokenBucket } from "oleandergap-utils";
import { ERA_HEADER, type PlatformOperation } from "oleandergap-platform";
import { formatRetryAfter } from "../http/formatRetryAfter.js";
import { readBody, sendJson } from "../http/jsonHttp.js";
import { CALLER_HEADER, isWriteOperation, type CounterBook } from "./counters.js";
import { parseOperation, type OperationAnswer, type ParsedOperation, type PlatformState } from "./operations.js";
import type { OperationFaults, PlatformFaults } from "./options.js";

/** What all calls to one platform share. */
export interface CallContext {
    readonly state: PlatformState;
    readonly faults: () => PlatformFaults;
    readonly counters: CounterBook;
    readonly readBudget: TokenBucket;
    readonly writeBudget: TokenBucket;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifetime: AbortSignal;
}

const NO_CONTENT = 204;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;
/** What a caller is told to wait during an outage whose end nobody knows. */
const OUTAGE_RETRY_AFTER_MS = 1000;

const sendUnavailable = (response: ServerResponse, detail: string, retryAfterMs: Milliseconds): void => {
    sendJson(response, { error: detail }, SERVICE_UNAVAILABLE, formatRetryAfter(retryAfterMs));
};

const sendBytes = (response: ServerResponse, body: Uint8Array): void => {
    response.writeHead(200, { "content-type": "application/octet-stream", "content-length": body.byteLength });
    response.end(body);
};

const sendAnswer = (response: ServerResponse, answer: OperationAnswer): void => {
    switch (answer.kind) {
        case "Json":
            sendJson(response, answer.value);
            return;
        case "Bytes":
            sendBytes(response, answer.body);
            return;
        case "NoContent":
            response.writeHead(NO_CONTENT).end();
            return;
        case "NotFound":
            sendJson(response, { error: "not found" }, NOT_FOUND);
    }
};

/** Applies an outage; false when there is none. */
const applyOutage = (outage: OperationFaults["outage"], response: ServerResponse): boolean => {
    switch (outage) {
        case "none":
            return false;
        case "refuse":
            sendUnavailable(response, "the platform has an outage", OUTAGE_RETRY_AFTER_MS);
            return true;
        case "reset":
            response.destroy();
            return true;
        case "hang":
            return true;
    }
};

const faultsOf = (faults: PlatformFaults, operation: PlatformOperation): OperationFaults =>
    faults.byOperation[operation] ?? faults;

/** Takes the call's budget; false when the limit is reached and the caller was told so. */
const takeBudget = (context: CallContext, operation: PlatformOperation, response: ServerResponse): boolean => {
    const budget = isWriteOperation(operation) ? context.writeBudget : context.readBudget;
    if (budget.tryTake()) {
        return true;
    }
    sendUnavailable(response, "too many calls", budget.timeToNext());
    return false;
};

const nameEra = ({ state }: CallContext, response: ServerResponse): void => {
    response.setHeader(ERA_HEADER, String(state.table.era()));
};

const runWithFaults = async (
    context: CallContext,
    caller: string | undefined,
    call: ParsedOperation,
    response: ServerResponse,
): Promise<void> => {
    const { counters, clock, lifetime } = context;
    const faults = faultsOf(context.faults(), call.operation);
    if (applyOutage(faults.outage, response)) {
        counters.add(caller, "refused");
        return;
    }
    if (!takeBudget(context, call.operation, response)) {
        counters.add(caller, "overLimit");
        return;
    }
    if (faults.latencyMs > 0) {
        await clock.sleep(faults.latencyMs / 2, lifetime);
    }
    counters.add(caller, isWriteOperation(call.operation) ? "writes" : "reads");
    const answer = call.run();
    // The era of the answer is that of its effect, however late it is sent.
    nameEra(context, response);
    if (faults.latencyMs > 0) {
        await clock.sleep(faults.latencyMs / 2, lifetime);
    }
    if (context.random() < faults.loseAnswersShare) {
        counters.add(caller, "answersLost");
        response.destroy();
        return;
    }
    sendAnswer(response, answer);
};

const callerOf = (request: IncomingMessage, entrance: string | undefined): string | undefined => {
    const named = request.headers[CALLER_HEADER];
    return typeof named === "string" ? named : entrance;
};

/** Serves one call that came through `entrance`; rejects only when the caller hung up while it was sending. */
export const serveCall = async (
    context: CallContext,
    entrance: string | undefined,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const caller = callerOf(request, entrance);
    nameEra(context, response);
    const body = await readBody(request);
    const { socket } = request;
    const sentBefore = socket.bytesWritten;
    response.once("close", () => context.counters.add(caller, "bytesSent", socket.bytesWritten - sentBefore));
    context.counters.add(caller, "bytesReceived", body.length);
    const result = parseOperation(context.state, { method: request.method ?? "", url: request.url ?? "/", body });
    switch (result.kind) {
        case "Parsed":
            await runWithFaults(context, caller, result.call, response);
            return;
        case "Malformed":
            sendJson(response, { error: result.detail }, BAD_REQUEST);
            return;
        case "Unknown":
            sendJson(response, { error: "no such call" }, NOT_FOUND);
    }
};
