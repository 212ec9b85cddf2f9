/** HTTP handler of the admin port, which serves the VM itself: metrics, health checks and target announcements. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import { announcementSchema } from "oleandergap-types";
import type { LocalTargetManager } from "../target/localTargetManager.js";
import { readJson } from "./readJson.js";
import type { Readiness } from "./readiness.js";

/** Metrics in the Prometheus text format. */
export interface MetricsText {
    readonly contentType: string;
    readonly body: string;
}

export interface AdminHandlerDependencies {
    readonly target: LocalTargetManager;
    readonly readiness: () => Readiness;
    readonly readMetrics: () => Promise<MetricsText>;
    readonly logger: Logger;
}

const TARGET_PATH = "/v1/target";
const JSON_CONTENT_TYPE = "application/json";

const sendResponse = (response: ServerResponse, statusCode: number, contentType: string, body: string): void => {
    if (!response.req.complete) {
        response.setHeader("connection", "close");
    }
    response.writeHead(statusCode, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
    response.end(body);
};

const sendJson = (response: ServerResponse, statusCode: number, value: unknown): void =>
    sendResponse(response, statusCode, JSON_CONTENT_TYPE, JSON.stringify(value));

export const createAdminHandler = (dependencies: AdminHandlerDependencies) => {
    const { target, logger } = dependencies;

    const handleAnnouncement = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const announcement = await readJson(request, announcementSchema);
        if (either.isLeft(announcement)) {
            sendJson(response, 400, { error: announcement.left });
            return;
        }
        target.announce(announcement.right);
        const isConfirmed = await target.confirm(announcement.right);
        sendJson(response, isConfirmed ? 200 : 503, describeTarget());
    };

    const describeTarget = (): unknown => {
        const current = target.current();
        if (current === undefined) {
            return { announced: false };
        }
        const requestLimit = current.feedback.current()?.requestLimit;
        const customers = current.gate.listCustomers();
        return {
            announced: true,
            leaving: current.leaving,
            requestLimit,
            ...current.gate.load(),
            ...customers.length === 0 ? {} : { customers },
        };
    };

    const sendReadiness = (response: ServerResponse): void => {
        const readiness = dependencies.readiness();
        sendJson(response, readiness.ready ? 200 : 503, readiness);
    };

    const sendMetrics = async (response: ServerResponse): Promise<void> => {
        const metrics = await dependencies.readMetrics();
        sendResponse(response, 200, metrics.contentType, metrics.body);
    };

    const route = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const path = (request.url ?? "").split("?")[0] ?? "";
        switch (`${request.method ?? ""} ${path}`) {
            case "GET /healthz":
                // This response shows only that the event loop is running.
                sendJson(response, 200, { alive: true });
                return;
            case "GET /readyz":
                sendReadiness(response);
                return;
            case "GET /metrics":
                await sendMetrics(response);
                return;
            case `PUT ${TARGET_PATH}`:
                await handleAnnouncement(request, response);
                return;
            case `DELETE ${TARGET_PATH}`:
                target.withdraw();
                sendJson(response, 200, describeTarget());
                return;
            case `GET ${TARGET_PATH}`:
                sendJson(response, 200, describeTarget());
                return;
            default:
                sendJson(response, 404, { error: "unknown path or method" });
        }
    };

    return (request: IncomingMessage, response: ServerResponse): void => {
        route(request, response).catch((error: unknown) => {
            logger.error("An admin request failed.", { detail: String(error) });
            response.destroy();
        });
    };
};
