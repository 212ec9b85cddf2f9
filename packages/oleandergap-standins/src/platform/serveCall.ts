/** Serves one platform call: applies the faults and rate limits, runs the call and sends the response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random, TokenBucket } from "oleandergap-utils";
import { ERA_HEADER, type PlatformOperation } from "oleandergap-platform";
import { formatRetryAfterHeaders } from "../http/formatRetryAfter.js";
import { readBody, sendJson } from "../http/jsonHttp.js";
import { CALLER_HEADER, isWriteOperation, type CounterStore } from "./counters.js";
import { parseOperation, type OperationResponse, type ParsedOperation, type PlatformState } from "./operations.js";
import type { OperationFaults, PlatformFaults } from "./options.js";

/** State that all calls to one platform share. */
export interface CallContext {
    readonly state: PlatformState;
    readonly faults: () => PlatformFaults;
    readonly counters: CounterStore;
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
/** Retry delay that is sent to callers during an outage, whose end is unknown. */
const OUTAGE_RETRY_AFTER_MS = 1000;

const sendUnavailable = (response: ServerResponse, detail: string, retryAfterMs: Milliseconds): void => {
    sendJson(response, { error: detail }, SERVICE_UNAVAILABLE, formatRetryAfterHeaders(retryAfterMs));
};

const sendBytes = (response: ServerResponse, body: Uint8Array): void => {
    response.writeHead(200, { "content-type": "application/octet-stream", "content-length": body.byteLength });
    response.end(body);
};

const sendOperationResponse = (response: ServerResponse, operationResponse: OperationResponse): void => {
    switch (operationResponse.kind) {
        case "Json":
            sendJson(response, operationResponse.value);
            return;
        case "Bytes":
            sendBytes(response, operationResponse.body);
            return;
        case "NoContent":
            response.writeHead(NO_CONTENT).end();
            return;
        case "NotFound":
            sendJson(response, { error: "not found" }, NOT_FOUND);
    }
};

/** Applies the outage to the response. Returns false if there is none. */
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

const findFaults = (faults: PlatformFaults, operation: PlatformOperation): OperationFaults =>
    faults.byOperation[operation] ?? faults;

/** Counts a call against its rate limit. If the limit is reached, sends a refusal and returns false. */
const consumeBudget = (context: CallContext, operation: PlatformOperation, response: ServerResponse): boolean => {
    const budget = isWriteOperation(operation) ? context.writeBudget : context.readBudget;
    if (budget.tryTake()) {
        return true;
    }
    sendUnavailable(response, "too many calls", budget.timeToNext());
    return false;
};

const setEraHeader = ({ state }: CallContext, response: ServerResponse): void => {
    response.setHeader(ERA_HEADER, String(state.table.era()));
};

const runWithFaults = async (
    context: CallContext,
    caller: string | undefined,
    call: ParsedOperation,
    response: ServerResponse,
): Promise<void> => {
    const { counters, clock, lifetime } = context;
    const faults = findFaults(context.faults(), call.operation);
    if (applyOutage(faults.outage, response)) {
        counters.add(caller, "refused");
        return;
    }
    if (!consumeBudget(context, call.operation, response)) {
        counters.add(caller, "overLimit");
        return;
    }
    if (faults.latencyMs > 0) {
        await clock.sleep(faults.latencyMs / 2, lifetime);
    }
    counters.add(caller, isWriteOperation(call.operation) ? "writes" : "reads");
    const operationResponse = call.run();
    // The response carries the era in which the call took effect, even if the platform is restored before it is sent.
    setEraHeader(context, response);
    if (faults.latencyMs > 0) {
        await clock.sleep(faults.latencyMs / 2, lifetime);
    }
    if (context.random() < faults.loseAnswersShare) {
        counters.add(caller, "answersLost");
        response.destroy();
        return;
    }
    sendOperationResponse(response, operationResponse);
};

const getCallerName = (request: IncomingMessage, entrance: string | undefined): string | undefined => {
    const callerHeader = request.headers[CALLER_HEADER];
    return typeof callerHeader === "string" ? callerHeader : entrance;
};

/**
 * Serves one call that arrived through `entrance`. Rejects only if the caller disconnects while it sends its request.
 */
export const serveCall = async (
    context: CallContext,
    entrance: string | undefined,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const caller = getCallerName(request, entrance);
    setEraHeader(context, response);
    const body = await readBody(request);
    const { socket } = request;
    const bytesWrittenBefore = socket.bytesWritten;
    response.once("close", () => context.counters.add(caller, "bytesSent", socket.bytesWritten - bytesWrittenBefore));
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
