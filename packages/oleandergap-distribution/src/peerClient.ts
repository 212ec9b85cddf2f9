/**
 * Calls other nodes over tRPC. Every response is validated against its schema before it is returned. A call that fails
 * in any way returns only an error.
 */
import { Agent } from "node:http";
import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from "@trpc/client";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { zoneTargetsResponseSchema } from "oleandergap-membership";
import { documentSchema, type Clock } from "oleandergap-types";
import type { z } from "zod";
import type { PeerOptions } from "./options.js";
import type { PeerError } from "./peerError.js";
import { PEER_PATH } from "./peerRequestHandler.js";
import type { PeerRouter } from "./peerRouter.js";
import {
    contactsResponseSchema,
    headsResponseSchema,
    pingResponseSchema,
    versionResponseSchema,
} from "./peerSchemas.js";
import { exchangeWithPeer, type ExchangeBytes, type ExchangeDependencies } from "./peerTransport.js";
import type { ProgressListener, PeerAddress, PeerDirectoryPort, PeerPort } from "./ports.js";

/** Returns the `authorization` header for calls to a node; undefined if no key is set. */
export type AuthorizeCall = (node: Pick<PeerAddress, "address" | "controlPort">) => string | undefined;

/**
 * Dependencies of a peer client. Without `authorize`, calls contain no `authorization` header, which proves membership
 * in the fleet.
 */
export interface PeerClientDependencies {
    readonly clock: Clock;
    readonly options: PeerOptions;
    readonly authorize?: AuthorizeCall;
}

/** Counters since the creation of the client. */
export interface PeerClientStatistics {
    readonly calls: number;
    readonly failures: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
}

/** Calls other nodes over connections that are reused for a short time. */
export interface PeerClient extends PeerPort, PeerDirectoryPort {
    readonly stats: () => PeerClientStatistics;
    /** Closes all connections. Calls in flight fail. */
    readonly close: () => void;
}

/** Maximum number of idle connections that are kept open between calls, per peer. */
const MAX_IDLE_CONNECTIONS = 8;
/** Maximum number of concurrent connections to one peer. */
const MAX_CONNECTIONS_PER_PEER = 4;
/** Maximum length of an error detail, in characters; longer ones are truncated. */
const MAX_DETAIL_LENGTH = 200;

/** Holds the error of the transport, because the tRPC library reports only its own error type. */
interface TransportErrorHolder {
    error: PeerError | undefined;
}

type Query<Output> = (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Output>;

const formatHost = ({ address, controlPort }: PeerAddress): string =>
    address.includes(":") ? `[${address}]:${controlPort}` : `${address}:${controlPort}`;

const formatPath = (url: string): string => {
    const { pathname, search } = new URL(url);
    return `${pathname}${search}`;
};

/** Converts an error of the tRPC library. Returns the error of the transport instead if the transport failed. */
const toPeerError = (error: unknown, failure: TransportErrorHolder): PeerError => {
    if (failure.error !== undefined) {
        return failure.error;
    }
    const detail = (error instanceof Error ? error.message : String(error)).slice(0, MAX_DETAIL_LENGTH);
    const shape: unknown = error instanceof TRPCClientError ? error.data : undefined;
    const status: unknown = typeof shape === "object" && shape !== null ? Reflect.get(shape, "httpStatus") : undefined;
    return typeof status === "number" ? { kind: "Refused", status, detail } : { kind: "Malformed", detail };
};

const validateResponse = <Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
): Either<PeerError, z.output<Schema>> => {
    const result = schema.safeParse(value);
    if (result.success) {
        return either.right(result.data);
    }
    const issue = result.error.issues[0];
    const detail = `${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`.slice(0, MAX_DETAIL_LENGTH);
    return either.left({ kind: "Malformed", detail });
};

/** Creates a client for calls to all peers of this node. */
export const createPeerClient = (
    { clock, options, authorize = () => undefined }: PeerClientDependencies,
): PeerClient => {
    const agent = new Agent({
        keepAlive: true,
        maxSockets: MAX_CONNECTIONS_PER_PEER,
        maxFreeSockets: MAX_IDLE_CONNECTIONS,
        timeout: options.idleConnectionMs,
    });
    const counts = { calls: 0, failures: 0, bytesSent: 0, bytesReceived: 0 };
    const countBytes = ({ sent, received }: ExchangeBytes): void => {
        counts.bytesSent += sent;
        counts.bytesReceived += received;
    };
    const exchangeDependencies: ExchangeDependencies = { agent, clock, countBytes };

    const createCallClient = (
        peer: PeerAddress,
        failure: TransportErrorHolder,
        onProgress: ProgressListener | undefined,
    ): TRPCClient<PeerRouter> =>
        createTRPCClient<PeerRouter>({
            links: [httpLink({
                url: `http://${formatHost(peer)}${PEER_PATH}`,
                methodOverride: "POST",
                fetch: async (url: unknown, init) => {
                    const outcome = await exchangeWithPeer({
                        address: peer.address,
                        port: peer.controlPort,
                        path: formatPath(String(url)),
                        authorization: authorize(peer),
                        body: typeof init?.body === "string" ? init.body : undefined,
                        answerBytes: options.answerBytes,
                        timeoutMs: options.timeoutMs,
                        longestMs: options.longestMs,
                        signal: init?.signal ?? new AbortController().signal,
                        onProgress,
                    }, exchangeDependencies);
                    if (either.isLeft(outcome)) {
                        failure.error = outcome.left;
                        throw new Error(outcome.left.kind);
                    }
                    const { status, text } = outcome.right;
                    return { ok: status === 200, json: async (): Promise<unknown> => JSON.parse(text) };
                },
            })],
        });

    const call = <Schema extends z.ZodType>(
        peer: PeerAddress,
        schema: Schema,
        query: Query<unknown>,
        signal: AbortSignal,
        onProgress?: ProgressListener,
    ): TaskEither<PeerError, z.output<Schema>> => async () => {
        const failure: TransportErrorHolder = { error: undefined };
        counts.calls += 1;
        let outcome: Either<PeerError, z.output<Schema>>;
        try {
            outcome = validateResponse(schema, await query(createCallClient(peer, failure, onProgress), signal));
        }
        catch (error) {
            outcome = either.left(toPeerError(error, failure));
        }
        counts.failures += either.isLeft(outcome) ? 1 : 0;
        return outcome;
    };

    return {
        ping: (peer, signal) =>
            call(peer, pingResponseSchema, (client) => client.ping.query(undefined, { signal }), signal),
        heads: (peer, signal) =>
            call(peer, headsResponseSchema, (client) => client.heads.query(undefined, { signal }), signal),
        deltasSince: (peer, query, signal, onProgress) => {
            const sendQuery: Query<unknown> = (client) => client.deltasSince.query(query, { signal });
            return call(peer, versionResponseSchema, sendQuery, signal, onProgress);
        },
        document: (peer, query, signal, onProgress) =>
            call(peer, documentSchema, (client) => client.document.query(query, { signal }), signal, onProgress),
        zoneTargets: (peer, request, signal) =>
            call(peer, zoneTargetsResponseSchema, (client) => client.zoneTargets.query(request, { signal }), signal),
        contacts: (peer, signal) =>
            call(peer, contactsResponseSchema, (client) => client.contacts.query(undefined, { signal }), signal),
        stats: () => ({ ...counts }),
        close: () => agent.destroy(),
    };
};
