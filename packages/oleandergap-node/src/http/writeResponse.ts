/** Writes responses to the sender of a request, either completely or visibly cut off. */
import type { ServerResponse } from "node:http";
import { selectResponseHeaders } from "./headers.js";
import { destroyResponse } from "./pipelinedRequests.js";
import type { UpstreamResponse } from "./upstreamResponse.js";
import type { FailureResponse } from "./refusal.js";

/**
 * Writes a failure immediately. If a response has already begun, destroys the connection instead, so that the response
 * is visibly cut off.
 *
 * @param isRestRead Whether the rest of the request is read if it has not arrived yet
 */
export const writeFailure = (
    response: ServerResponse,
    failure: FailureResponse,
    extraHeaders: Readonly<Record<string, string>>,
    isRestRead = false,
): void => {
    if (response.destroyed || response.writableEnded) {
        return;
    }
    if (response.headersSent) {
        destroyResponse(response);
        return;
    }
    if (!response.req.complete && !isRestRead) {
        // The next request of the connection would never be read.
        response.setHeader("connection", "close");
    }
    response.writeHead(failure.statusCode, { ...extraHeaders, ...failure.headers });
    response.end(failure.body);
};

/**
 * Forwards a response with back-pressure.
 *
 * A response that is cut off after its head must not look complete: after a clean end of a chunked body, the caller
 * would treat half a document as the complete document. The caller's connection is destroyed instead, which every HTTP
 * client reports as an error.
 */
export const writeResponse = (
    response: ServerResponse,
    upstreamResponse: UpstreamResponse,
    extraHeaders: Readonly<Record<string, string>>,
): void => {
    const { body } = upstreamResponse;
    if (response.destroyed) {
        body.cancel("the caller disconnected");
        return;
    }
    const headers = selectResponseHeaders(upstreamResponse.headers);
    for (const name of Object.keys(extraHeaders)) {
        headers[name] = extraHeaders[name] ?? "";
    }
    response.on("drain", body.resume);
    response.once("close", () => {
        if (!response.writableFinished) {
            body.cancel("the caller disconnected");
        }
    });
    // Corking sends head and body in one write when the body is already available.
    response.cork();
    response.writeHead(upstreamResponse.statusCode, headers);
    body.deliver({
        write: (chunk) => response.write(chunk),
        end: () => {
            response.end();
        },
        fail: () => {
            destroyResponse(response);
        },
    });
    response.uncork();
};
