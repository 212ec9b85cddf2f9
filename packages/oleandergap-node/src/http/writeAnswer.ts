/** Writes answers to whoever asked, whole or visibly broken off. */
import type { ServerResponse } from "node:http";
import { selectAnswerHeaders } from "./headers.js";
import type { Answer } from "./answer.js";
import type { FailureAnswer } from "./refusal.js";

/** Writes a failure at once. When the answer has already begun, breaks it off visibly instead. */
export const writeFailure = (
    response: ServerResponse,
    failure: FailureAnswer,
    extraHeaders: Readonly<Record<string, string>>,
): void => {
    if (response.destroyed || response.writableEnded) {
        return;
    }
    if (response.headersSent) {
        response.destroy();
        return;
    }
    if (!response.req.complete) {
        // The rest of the request would be taken for the next one.
        response.setHeader("connection", "close");
    }
    response.writeHead(failure.statusCode, { ...extraHeaders, ...failure.headers });
    response.end(failure.body);
};

/**
 * Hands an answer on with back-pressure.
 *
 * An answer that breaks off after its head must not look whole: with a clean end of a chunked body the caller would
 * take half a document for all of it. The caller's connection is destroyed instead, which every HTTP client reports.
 */
export const writeAnswer = (
    response: ServerResponse,
    answer: Answer,
    extraHeaders: Readonly<Record<string, string>>,
): void => {
    const { body } = answer;
    if (response.destroyed) {
        body.cancel("the caller went away");
        return;
    }
    const headers = selectAnswerHeaders(answer.headers);
    for (const name of Object.keys(extraHeaders)) {
        headers[name] = extraHeaders[name] ?? "";
    }
    response.on("drain", body.resume);
    response.once("close", () => {
        if (!response.writableFinished) {
            body.cancel("the caller went away");
        }
    });
    // Head and body leave in one write when the body is already here.
    response.cork();
    response.writeHead(answer.statusCode, headers);
    body.deliver({
        write: (chunk) => response.write(chunk),
        end: () => {
            response.end();
        },
        fail: () => {
            response.destroy();
        },
    });
    response.uncork();
};
