/** HTTP handler of the control port, which serves other nodes and operators under different paths. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { TRPC_ERROR_CODES_BY_KEY } from "@trpc/server/rpc";

const UNAUTHORIZED = 401;

export interface ControlRoute {
    /** Path or path prefix, for example `/peer`. */
    readonly prefix: string;
    /** Nodes are authenticated here, before the request body is read. The route itself authenticates operators. */
    readonly callers: "Nodes" | "Operators";
    readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

const isUnderPrefix = (url: string, prefix: string): boolean =>
    url === prefix || url.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);

/** Has the shape of a tRPC error, so that a node's client can distinguish a refusal from an unreadable response. */
const UNAUTHORIZED_BODY = JSON.stringify({
    error: {
        message: "not a node of this fleet",
        code: TRPC_ERROR_CODES_BY_KEY.UNAUTHORIZED,
        data: { code: "UNAUTHORIZED", httpStatus: UNAUTHORIZED },
    },
});

const refuse = (response: ServerResponse): void => {
    response.writeHead(UNAUTHORIZED, {
        "content-type": "application/json",
        "content-length": UNAUTHORIZED_BODY.length,
        connection: "close",
    });
    response.end(UNAUTHORIZED_BODY);
};

/** Creates a handler that passes each request to the first route whose prefix matches, if the caller is authorized. */
export const createControlHandler = (
    routes: readonly ControlRoute[],
    isNode: (request: IncomingMessage) => boolean,
) =>
    (request: IncomingMessage, response: ServerResponse): void => {
        const route = routes.find(({ prefix }) => isUnderPrefix(request.url ?? "", prefix));
        if (route === undefined) {
            response.writeHead(404, { "content-length": 0, connection: "close" });
            response.end();
            return;
        }
        if (route.callers === "Nodes" && !isNode(request)) {
            refuse(response);
            return;
        }
        route.handle(request, response);
    };
