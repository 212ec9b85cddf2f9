/** Serves the fleet router over the HTTP server of Node.js. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { Logger } from "oleandergap-logger";
import { fleetRouter, type FleetRouterContext } from "./fleetRouter.js";

/** Path of the router on the control port. */
export const FLEET_PATH = "/fleet";

/** Maximum size of a request body, in bytes. */
const MAX_QUERY_BYTES = 16 * 1024;

const extractProcedurePath = (request: IncomingMessage): string =>
    (request.url ?? "").slice(FLEET_PATH.length + 1).split("?")[0] ?? "";

export const createFleetHandler = (context: FleetRouterContext, logger: Logger) =>
    (request: IncomingMessage, response: ServerResponse): void => {
        nodeHTTPRequestHandler({
            router: fleetRouter,
            req: request,
            res: response,
            path: extractProcedurePath(request),
            createContext: () => Promise.resolve(context),
            maxBodySize: MAX_QUERY_BYTES,
            allowBatching: false,
        }).catch((error: unknown) => {
            logger.warn("A fleet request failed.", { detail: String(error) });
            response.destroy();
        });
    };
