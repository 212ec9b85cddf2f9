/**
 * Pool of HTTP/1.1 connections to one address. Each connection has at most one request; requests for which there is no
 * connection wait in the order in which they came.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Connect } from "./connector.js";
import { createHttpConnection } from "./httpConnection.js";
import { createIdleConnections, type KeptConnection } from "./idleConnections.js";
import {
    WithheldError,
    type OutgoingRequest,
    type RequestControl,
    type RequestTransport,
    type ResponseReceiver,
} from "./requestTransport.js";
import { formatRequestHead } from "./requestWriter.js";

export interface HttpPoolOptions {
    readonly clock: Clock;
    readonly connect: Connect;
    readonly address: string;
    readonly port: number;
    /** Idle time after which a connection is not used any more. */
    readonly idleMs: Milliseconds;
}

export interface HttpPool extends RequestTransport {
    /** Sets the maximum number of connections. */
    readonly limitConnections: (connections: number) => void;
    /** Replaces the connections: requests in flight finish on the old ones, later and waiting ones use new ones. */
    readonly replaceConnections: () => void;
    /** Closes connections that were idle for too long. */
    readonly sweep: () => void;
    /** Returns whether no request is waiting or in flight. */
    readonly isUnused: () => boolean;
    /** Destroys all connections; their requests fail. */
    readonly destroy: () => void;
}

/** A request that was passed to the pool. */
interface PoolRequest {
    readonly outgoing: OutgoingRequest;
    readonly head: string;
    readonly receiver: ResponseReceiver;
    isAborted: boolean;
    /** Set once the request has been handed to a connection. */
    control: RequestControl | undefined;
}

interface PoolConnection extends KeptConnection {
    /** The request for which the connection was opened, until it is open. */
    first: PoolRequest | undefined;
    isBusy: boolean;
}

const createControl = (request: PoolRequest): RequestControl => ({
    pause: () => request.control?.pause(),
    resume: () => request.control?.resume(),
    abort: () => {
        request.isAborted = true;
        request.control?.abort();
    },
});

const failUnlessAborted = ({ isAborted, receiver }: PoolRequest, error: Error): void => {
    if (!isAborted) {
        receiver.onError(error);
    }
};

/** Returns whether a request may be sent. Fails it if its sender no longer allows it. */
const checkStart = (request: PoolRequest): boolean => {
    if (request.isAborted || request.outgoing.mayStart?.() !== false) {
        return !request.isAborted;
    }
    request.receiver.onError(new WithheldError("the request may no longer be sent"));
    request.isAborted = true;
    return false;
};

/** The requests that wait for a connection. */
interface WaitingRequests {
    readonly add: (request: PoolRequest) => void;
    /** Removes and returns the first request that was not aborted. */
    readonly take: () => PoolRequest | undefined;
    readonly isEmpty: () => boolean;
    readonly takeAll: () => readonly PoolRequest[];
    /** Fails the requests that may no longer be sent. */
    readonly withhold: () => void;
}

const createWaitingRequests = (): WaitingRequests => {
    let requests: PoolRequest[] = [];
    return {
        add: (request) => {
            requests.push(request);
        },
        take: () => {
            for (;;) {
                const request = requests.shift();
                if (request === undefined || !request.isAborted) {
                    return request;
                }
            }
        },
        isEmpty: () => requests.every(({ isAborted }) => isAborted),
        withhold: () => {
            requests = requests.filter(checkStart);
        },
        takeAll: () => {
            const all = requests;
            requests = [];
            return all;
        },
    };
};

const startOn = (entry: PoolConnection, request: PoolRequest): void => {
    entry.isBusy = true;
    request.control = entry.connection.start(request.outgoing, request.head, request.receiver);
};

/** Removes and returns the request for which a connection was opened. */
const takeFirst = (entry: PoolConnection): PoolRequest | undefined => {
    const request = entry.first;
    entry.first = undefined;
    return request;
};

/** Creates the pool. Connections are opened when they are needed. */
export const createHttpPool = ({ clock, connect, address, port, idleMs }: HttpPoolOptions): HttpPool => {
    /** All connections that are open or being opened, except replaced ones. */
    let current = new Set<PoolConnection>();
    const replaced = new Set<PoolConnection>();
    const idle = createIdleConnections<PoolConnection>(clock, idleMs);
    const waiting = createWaitingRequests();
    let connectionLimit = 1;
    let isPumpScheduled = false;

    const markIdle = (entry: PoolConnection): void => {
        entry.isBusy = false;
        idle.add(entry);
    };

    const handleOpen = (entry: PoolConnection): void => {
        const request = takeFirst(entry);
        if (request !== undefined && checkStart(request)) {
            startOn(entry, request);
        }
        else if (replaced.has(entry)) {
            entry.connection.retire();
        }
        else {
            markIdle(entry);
            pump();
        }
    };

    const handleClosed = (entry: PoolConnection, error: Error | undefined): void => {
        current.delete(entry);
        replaced.delete(entry);
        idle.remove(entry);
        const request = takeFirst(entry);
        if (request !== undefined) {
            failUnlessAborted(request, error ?? new Error("the connection was closed"));
        }
        schedulePump();
    };

    const openFor = (request: PoolRequest): void => {
        const entry: PoolConnection = {
            connection: createHttpConnection({
                clock,
                connect,
                address,
                port,
                onOpen: () => handleOpen(entry),
                onIdle: () => {
                    markIdle(entry);
                    schedulePump();
                },
                onClosed: (error) => handleClosed(entry, error),
            }),
            first: request,
            isBusy: true,
            idleSince: 0,
        };
        current.add(entry);
    };

    /** Gives waiting requests connections, as far as there are any. */
    const pump = (): void => {
        waiting.withhold();
        for (;;) {
            const entry = waiting.isEmpty() ? undefined : idle.take();
            if (entry === undefined && current.size >= connectionLimit) {
                return;
            }
            const request = waiting.take();
            if (request === undefined) {
                return;
            }
            if (entry === undefined) {
                openFor(request);
            }
            else {
                startOn(entry, request);
            }
        }
    };

    /**
     * Continues in the next turn of the event loop. Bytes that came after a response have then been read, and have
     * ended their connection instead of being taken for the next response.
     */
    const schedulePump = (): void => {
        if (isPumpScheduled || waiting.isEmpty()) {
            return;
        }
        isPumpScheduled = true;
        setImmediate(() => {
            isPumpScheduled = false;
            pump();
        });
    };

    return {
        send: (outgoing, receiver) => {
            const head = formatRequestHead(outgoing);
            const request: PoolRequest = { outgoing, head, receiver, isAborted: false, control: undefined };
            waiting.add(request);
            if (!isPumpScheduled) {
                pump();
            }
            return createControl(request);
        },
        limitConnections: (connections) => {
            connectionLimit = connections;
        },
        replaceConnections: () => {
            const old = [...current];
            current = new Set();
            idle.clear();
            old.forEach((entry) => replaced.add(entry));
            old.forEach(({ connection }) => connection.retire());
            schedulePump();
        },
        sweep: () => {
            waiting.withhold();
            idle.sweep();
        },
        isUnused: () => waiting.isEmpty() && ![...current, ...replaced].some(({ isBusy }) => isBusy),
        destroy: () => {
            const error = new Error("the node closes its connections");
            const unsent = waiting.takeAll();
            [...current, ...replaced].forEach(({ connection }) => connection.destroy(error));
            unsent.forEach((request) => failUnlessAborted(request, error));
        },
    };
};
