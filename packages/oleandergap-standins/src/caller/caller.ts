/** Sends single requests to gateways and classifies the responses. Never retries a request. */
import { Agent, request as sendRequest } from "undici";
import {
    IDEMPOTENCY_KEY_HEADER,
    MILLISECONDS_PER_SECOND,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    VERSION_HEADER,
    verdictSchema,
    type Clock,
    type Milliseconds,
    type Verdict,
} from "oleandergap-types";
import { createSystemClock } from "oleandergap-utils";
import { ANSWER_PADDING_HEADER, RUN_KEY_HEADER } from "../target/requestHeaders.js";
import type { CallRequest, CallResult, GatewayAddress } from "./callResult.js";
import { checkResponse } from "./checkResponse.js";

/** Client of the gateways that reuses its connections for many requests. */
export interface Caller {
    /** Sends the request once. Never rejects. */
    readonly call: (gateway: GatewayAddress, request: CallRequest) => Promise<CallResult>;
    readonly close: () => Promise<void>;
}

type GatewayResponse = Awaited<ReturnType<typeof sendRequest>>;

const FIRST_REFUSAL_STATUS = 300;
/**
 * Time after the request's timeout at which the caller aborts, so that it still receives the refusal of an expired
 * request.
 */
const RESPONSE_GRACE_MS = 1000;
const CONNECT_ERRORS: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

const formatHeaders = (request: CallRequest): Record<string, string> => ({
    host: `${request.service.service}.${request.service.partner}`,
    [TIMEOUT_HEADER]: String(request.timeoutMs),
    [RUN_KEY_HEADER]: request.runKey,
    ...(request.idempotencyKey === undefined ? {} : { [IDEMPOTENCY_KEY_HEADER]: request.idempotencyKey }),
    ...(request.answerPadding === undefined ? {} : { [ANSWER_PADDING_HEADER]: String(request.answerPadding) }),
});

const readHeader = (response: GatewayResponse, name: string): string | undefined => {
    const value = response.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

const readRetryAfter = (response: GatewayResponse): Milliseconds | undefined => {
    const milliseconds = readHeader(response, RETRY_AFTER_MS_HEADER);
    if (milliseconds !== undefined) {
        return Number(milliseconds);
    }
    const seconds = readHeader(response, RETRY_AFTER_HEADER);
    return seconds === undefined ? undefined : Number(seconds) * MILLISECONDS_PER_SECOND;
};

const classifyFailure = (error: unknown): { readonly verdict: Verdict; readonly detail: string } => {
    if (!(error instanceof Error)) {
        return { verdict: "mayHaveRun", detail: String(error) };
    }
    const code: unknown = Reflect.get(error, "code");
    const name = typeof code === "string" ? code : error.name;
    return { verdict: CONNECT_ERRORS.has(name) ? "notRun" : "mayHaveRun", detail: `${name}: ${error.message}` };
};

const classifyResponse = (
    request: CallRequest,
    response: GatewayResponse,
    text: string,
    latencyMs: Milliseconds,
): CallResult => {
    const { runKey } = request;
    if (response.statusCode >= FIRST_REFUSAL_STATUS) {
        return {
            kind: "Refused",
            runKey,
            latencyMs,
            status: response.statusCode,
            verdict: verdictSchema.safeParse(readHeader(response, VERDICT_HEADER)).data,
            reason: readHeader(response, REASON_HEADER),
            retryAfterMs: readRetryAfter(response),
        };
    }
    const checked = checkResponse(request, text);
    if (checked.kind === "Wrong") {
        return { kind: "Wrong", runKey, latencyMs, detail: checked.detail };
    }
    const version = readHeader(response, VERSION_HEADER);
    return { kind: "Answered", runKey, latencyMs, target: checked.echo.target, version };
};

/** Creates a caller without open connections. `close` resets the connections that the caller opened. */
export const createCaller = (clock: Clock = createSystemClock()): Caller => {
    const agent = new Agent({ pipelining: 1, keepAliveTimeout: 4000, headersTimeout: 0, bodyTimeout: 0 });

    const call = async (gateway: GatewayAddress, request: CallRequest): Promise<CallResult> => {
        const startedAt = clock.monotonic();
        const timeoutController = new AbortController();
        const cancelTimer = clock.after(request.timeoutMs + RESPONSE_GRACE_MS, () => timeoutController.abort());
        try {
            const response = await sendRequest(`http://${gateway.address}:${gateway.port}${request.path}`, {
                method: request.method,
                headers: formatHeaders(request),
                dispatcher: agent,
                signal: timeoutController.signal,
                ...(request.body === undefined ? {} : { body: request.body }),
            });
            const text = await response.body.text();
            return classifyResponse(request, response, text, clock.monotonic() - startedAt);
        }
        catch (error) {
            const latencyMs = clock.monotonic() - startedAt;
            return { kind: "Failed", runKey: request.runKey, latencyMs, ...classifyFailure(error) };
        }
        finally {
            cancelTimer();
        }
    };

    return { call, close: () => agent.destroy() };
};
