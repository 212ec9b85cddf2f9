/**
 * Serves the peer router over Node's HTTP server. Responses contain only the headers that the client reads, because
 * their bytes count as control traffic. Large responses are compressed.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { gzipSync } from "node:zlib";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Logger } from "oleandergap-logger";
import { describeError } from "oleandergap-utils";
import type { PeerOptions } from "./options.js";
import { peerRouter, type PeerRouterDependencies } from "./peerRouter.js";

/** Path prefix of the router on the control port. */
export const PEER_PATH = "/peer";

/** Smaller responses, in bytes, are not compressed: compression would take time and save almost nothing. */
const COMPRESSION_THRESHOLD_BYTES = 1_024;
/** The fastest compression level. It already reduces a document to a tenth of its size. */
const COMPRESSION_LEVEL = 1;

/** Handles one request below {@link PEER_PATH}. Never throws. */
export type PeerRequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Dependencies and settings of a handler. */
export interface PeerRequestHandlerOptions {
    readonly dependencies: PeerRouterDependencies;
    readonly logger: Logger;
    readonly options: Pick<PeerOptions, "questionBytes">;
}

type RequestBody = { readonly kind: "Whole"; readonly text: string } | { readonly kind: "TooLarge" };

const readBody = async (request: IncomingMessage, limitBytes: number): Promise<RequestBody> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limitBytes) {
            return { kind: "TooLarge" };
        }
        chunks.push(chunk);
    }
    return { kind: "Whole", text: Buffer.concat(chunks).toString("utf8") };
};

const acceptsCompression = (request: IncomingMessage): boolean =>
    request.headers["accept-encoding"]?.includes("gzip") ?? false;

interface PreparedResponse {
    readonly status: number;
    readonly body: Buffer;
    readonly isCompressed: boolean;
}

const prepareResponse = (status: number, text: string, canCompress: boolean): PreparedResponse => {
    const plain = Buffer.from(text, "utf8");
    const isCompressed = canCompress && plain.length >= COMPRESSION_THRESHOLD_BYTES;
    const body = isCompressed ? gzipSync(plain, { level: COMPRESSION_LEVEL }) : plain;
    return { status, body, isCompressed };
};

const sendResponse = (response: ServerResponse, { status, body, isCompressed }: PreparedResponse): void => {
    response.sendDate = false;
    response.writeHead(status, {
        "content-length": body.length,
        ...(isCompressed ? { "content-encoding": "gzip" } : {}),
    });
    response.end(body);
};

/** Rejects the request and closes the connection, so that the rest of the body is not parsed as the next request. */
const rejectOversizedRequest = (response: ServerResponse, limitBytes: number): void => {
    response.shouldKeepAlive = false;
    const text = JSON.stringify({ error: { message: `the question is larger than ${limitBytes} bytes` } });
    sendResponse(response, prepareResponse(413, text, false));
};

const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
    { dependencies, options }: PeerRequestHandlerOptions,
): Promise<void> => {
    const requestBody = await readBody(request, options.questionBytes);
    if (requestBody.kind === "TooLarge") {
        rejectOversizedRequest(response, options.questionBytes);
        return;
    }
    const hasBody = request.method === "POST" && requestBody.text !== "";
    const routerResponse = await fetchRequestHandler({
        endpoint: PEER_PATH,
        router: peerRouter,
        allowMethodOverride: true,
        allowBatching: false,
        createContext: () => dependencies,
        req: new Request(new URL(request.url ?? "/", "http://peer"), {
            method: request.method ?? "GET",
            headers: { "content-type": "application/json" },
            ...(hasBody ? { body: requestBody.text } : {}),
        }),
    });
    const text = await routerResponse.text();
    sendResponse(response, prepareResponse(routerResponse.status, text, acceptsCompression(request)));
};

/** Creates the handler that the daemon's control server calls for every path below {@link PEER_PATH}. */
export const createPeerRequestHandler = (handlerOptions: PeerRequestHandlerOptions): PeerRequestHandler =>
    (request, response) => {
        // If a peer closes the connection in the middle of its request, the body stream fails. Without this handler,
        // the error would end the whole process; with it, only the connection ends.
        handleRequest(request, response, handlerOptions).catch((error: unknown) => {
            handlerOptions.logger.debug("A peer request was dropped.", { detail: describeError(error) });
            response.destroy();
        });
    };
