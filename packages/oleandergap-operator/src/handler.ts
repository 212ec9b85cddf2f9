/**
 * Serves the operators' router with Node's HTTP server under a path prefix. Authentication is the first step: a request
 * without a valid credential is rejected before its path, method or body is inspected.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import * as either from "fp-ts/lib/Either.js";
import {
    MILLISECONDS_PER_SECOND,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
    type Milliseconds,
} from "oleandergap-types";
import type { OperatorContext, OperatorServices } from "./procedures/context.js";
import { readBearerCredential } from "./credentials/credential.js";
import type { CredentialChecker, CredentialError } from "./credentials/credentialChecker.js";
import { createKeyedRateLimiter } from "./keyedRateLimiter.js";
import { OVER_BUDGET_STATUS, UNAUTHORIZED_STATUS, UNAVAILABLE_STATUS } from "./schemas/operatorError.js";
import { operatorOptionsSchema, type OperatorOptions } from "./options.js";
import { operatorRouter } from "./procedures/router.js";
import { describeError, startTimeLimit } from "oleandergap-utils";

/** Path prefix of the operators' procedures on the control port. */
export const OPERATOR_PATH_PREFIX = "/operator/";

/** Maximum number of partners that the rate limiter tracks. */
const RATE_LIMITER_CAPACITY = 64;
/** Burst of requests allowed to a partner, as the number of seconds at its rate. */
const BURST_SECONDS = 2;

/** Dependencies of {@link createOperatorHandler}. */
export interface OperatorHandlerDependencies {
    readonly services: OperatorServices;
    readonly credentials: CredentialChecker;
    readonly options?: OperatorOptions;
    /** Aborts the requests in flight when the node stops waiting for them during shutdown. */
    readonly signal: AbortSignal;
}

/** Handles requests whose path starts with {@link OPERATOR_PATH_PREFIX}. It never throws. */
export type OperatorHandler = (request: IncomingMessage, response: ServerResponse) => void;

const toHttpStatus = (error: CredentialError): number => {
    switch (error.kind) {
        case "Unauthenticated":
            return UNAUTHORIZED_STATUS;
        case "OverBudget":
            return OVER_BUDGET_STATUS;
        case "PlatformUnavailable":
            return UNAVAILABLE_STATUS;
    }
};

const setRetryAfterHeaders = (response: ServerResponse, retryAfterMs: Milliseconds): void => {
    response.setHeader(RETRY_AFTER_HEADER, String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
    response.setHeader(RETRY_AFTER_MS_HEADER, String(retryAfterMs));
};

/** Sends the error in the format of a tRPC error, so that the client can parse both in the same way. */
const sendCredentialError = (request: IncomingMessage, response: ServerResponse, error: CredentialError): void => {
    if (error.kind === "OverBudget") {
        setRetryAfterHeaders(response, error.retryAfterMs);
    }
    const httpStatus = toHttpStatus(error);
    const data = { code: error.kind, httpStatus, operatorError: error };
    response.writeHead(httpStatus, { "content-type": "application/json", connection: "close" });
    response.end(JSON.stringify({ error: { code: 0, message: error.kind, data } }));
    request.resume();
};

const getProcedurePath = (request: IncomingMessage): string =>
    (request.url ?? "").slice(OPERATOR_PATH_PREFIX.length).split("?")[0] ?? "";

/** Creates the request handler of one node. */
export const createOperatorHandler = ({
    services, credentials, signal, options = operatorOptionsSchema.parse({}),
}: OperatorHandlerDependencies): OperatorHandler => {
    const { clock, logger } = services;
    const rateLimiter = createKeyedRateLimiter({
        clock,
        ratePerSecond: options.requestsPerSecond,
        burst: Math.max(1, options.requestsPerSecond * BURST_SECONDS),
        capacity: RATE_LIMITER_CAPACITY,
    });

    const serveProcedure = async (
        request: IncomingMessage,
        response: ServerResponse,
        context: OperatorContext,
    ): Promise<void> => {
        await nodeHTTPRequestHandler({
            router: operatorRouter,
            req: request,
            res: response,
            path: getProcedurePath(request),
            createContext: () => Promise.resolve(context),
            maxBodySize: options.maxBodyBytes,
            allowBatching: false,
            onError: ({ error, path }) => {
                if (error.code === "INTERNAL_SERVER_ERROR") {
                    logger.error("A request failed.", { path, detail: error.message });
                }
            },
        });
    };

    const authenticateRequest = async (
        request: IncomingMessage,
        response: ServerResponse,
        requestSignal: AbortSignal,
    ): Promise<OperatorContext | undefined> => {
        const credential = readBearerCredential(request.headers.authorization);
        const clientAddress = request.socket.remoteAddress ?? "";
        const identity = await credentials.check({ credential, clientAddress, purpose: "read" }, requestSignal)();
        if (either.isLeft(identity)) {
            sendCredentialError(request, response, identity.left);
            return undefined;
        }
        const retryAfterMs = rateLimiter.acquire(identity.right.partner);
        if (retryAfterMs > 0) {
            sendCredentialError(request, response, { kind: "OverBudget", retryAfterMs });
            return undefined;
        }
        const confirmIdentity: OperatorContext["confirmIdentity"] = (confirmSignal) =>
            credentials.check({ credential, clientAddress, purpose: "change" }, confirmSignal);
        return { ...services, identity: identity.right, confirmIdentity, signal: requestSignal };
    };

    const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const timeLimit = startTimeLimit(clock, options.requestTimeoutMs, signal);
        try {
            const context = await authenticateRequest(request, response, timeLimit.signal);
            if (context !== undefined) {
                await serveProcedure(request, response, context);
            }
        }
        catch (error) {
            logger.error("A request was aborted by an unexpected error.", { detail: describeError(error) });
            response.destroy();
        }
        finally {
            timeLimit.cancel();
        }
    };

    return (request, response) => {
        void handleRequest(request, response);
    };
};
