/** A request that runs on an HTTP/1.1 connection: its receiver, and how far it and its response have got. */
import type { Milliseconds } from "oleandergap-types";
import type { BodyWatch, ResponseBodyLimits } from "./bodyWatch.js";
import type { OutgoingRequest, ResponseReceiver } from "./requestTransport.js";
import { FIRST_FINAL_STATUS } from "./responseHead.js";
import { createResponseParser, type ResponseParser } from "./responseParser.js";

export interface RunningRequest {
    readonly receiver: ResponseReceiver;
    readonly parser: ResponseParser;
    readonly isHeadRequest: boolean;
    readonly bodyLimits: ResponseBodyLimits;
    /** Whether the whole request was written. */
    isWritten: boolean;
    /** Whether the receiver pauses. */
    isPaused: boolean;
    /** Set while the response body arrives. */
    bodyWatch: BodyWatch | undefined;
    /** See `ResponseHead`. */
    keepAlive: boolean;
    keepAliveMs: Milliseconds | undefined;
}

/**
 * Creates a request that runs.
 *
 * @param isRunning Returns false once the request was given up, also within the bytes that are being parsed
 */
export const createRunningRequest = (
    { method, bodySilenceMs, bodyDeadline }: OutgoingRequest,
    receiver: ResponseReceiver,
    isRunning: (request: RunningRequest) => boolean,
): RunningRequest => {
    const parser = createResponseParser(method, {
        onHead: ({ statusCode, headers, keepAlive, keepAliveMs }) => {
            if (!isRunning(request)) {
                return;
            }
            if (statusCode >= FIRST_FINAL_STATUS) {
                request.keepAlive = keepAlive;
                request.keepAliveMs = keepAliveMs;
            }
            receiver.onHead(statusCode, headers);
        },
        onData: (chunk) => {
            if (isRunning(request)) {
                // A copy, because the bytes belong to the connection.
                receiver.onData(Buffer.from(chunk));
            }
        },
    });
    const request: RunningRequest = {
        receiver,
        parser,
        isHeadRequest: method === "HEAD",
        bodyLimits: { bodySilenceMs, bodyDeadline },
        isWritten: false,
        isPaused: false,
        bodyWatch: undefined,
        keepAlive: false,
        keepAliveMs: undefined,
    };
    return request;
};
