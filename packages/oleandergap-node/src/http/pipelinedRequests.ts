/**
 * Requests that a caller sends on a connection before earlier ones are answered.
 *
 * Node.js hands over every request as soon as it is read and writes the responses in order. It does not report which
 * responses will never be written because one before them closes the connection, and it reads on without a limit. Here
 * only a few requests of a connection are handled at the same time, and none whose response could not be delivered:
 * callers send those again.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Maximum number of requests of a connection that are handled and not answered yet. More would let one connection fill
 * the queues of the targets and the memory of the node behind one slow request.
 */
const MAX_OPEN_REQUESTS = 8;
/** Listeners that handlers add to a connection for each open request, and those of the runtime. */
const MAX_SOCKET_LISTENERS = 2 * MAX_OPEN_REQUESTS + 10;

/** A request that was read. `handle` starts handling it and is called once, or never if it counts as unread. */
export interface ReadRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly handle: () => void;
}

export interface PipelinedRequests {
    /** Handles a request now or once earlier ones of its connection are answered, unless its response has no chance. */
    readonly add: (read: ReadRequest) => void;
    /**
     * Runs `refuse` when the requests that were read on the connection before a malformed one are answered. It is not
     * run if the connection closes before, or if `answer` could respond in the place of the malformed request.
     */
    readonly addMalformed: (socket: Socket, refusal: MalformedRefusal) => void;
    /** Returns whether requests of the connection wait for their responses. */
    readonly hasOpenRequests: (socket: Socket) => boolean;
}

/** How a malformed request is refused. */
export interface MalformedRefusal {
    /** Writes the refusal to the connection itself. */
    readonly refuse: () => void;
    /** Writes the refusal as the response of a request whose head was read. */
    readonly answer: (response: ServerResponse) => void;
}

interface Connection {
    /** Requests that are handled and not answered, in the order in which they were sent. */
    readonly open: ReadRequest[];
    /** Requests that were read together with the open ones and are not handled yet. */
    held: ReadRequest[];
    /** Whether a response closes the connection, so that nothing sent behind it is handled. */
    isClosing: boolean;
    /** Refuses the malformed request that was read behind the open ones; undefined if there is none. */
    refuseMalformed: (() => void) | undefined;
}

/** Returns whether the response waits for earlier ones on its connection. */
const isQueued = (response: ServerResponse): boolean => response.socket === null && !response.writableFinished;

/** Returns whether a response closes its connection, as far as that is decided. A refusal decides it when written. */
const closesConnection = ({ response }: ReadRequest): boolean =>
    !response.shouldKeepAlive || response.getHeader("connection") === "close";

/**
 * Cuts a response off. The runtime reports the end of a response only once it is the first of its connection, so that a
 * response in the queue is reported here.
 */
export const destroyResponse = (response: ServerResponse): void => {
    const wasQueued = isQueued(response);
    response.destroy();
    if (wasQueued) {
        response.emit("close");
    }
};

/** Reports the failure to those who read the body of a request that will not arrive. */
const failBody = (request: IncomingMessage): void => {
    if (request.listenerCount("error") > 0) {
        request.emit("error", new Error("the body is malformed"));
    }
};

/** Marks the connection as closing. What was read and is not handled counts as unread. */
const close = (connection: Connection, socket: Socket): void => {
    connection.isClosing = true;
    const unread = connection.held;
    connection.held = [];
    for (const { request } of unread) {
        request.resume();
    }
    if (unread.length > 0) {
        // What follows is read and dropped: closing a connection with unread data resets it, and the response that
        // closes it may be lost.
        socket.resume();
    }
};

/** Creates the connections of a listener. `isDraining` returns whether responses close their connections by now. */
export const createPipelinedRequests = (isDraining: () => boolean): PipelinedRequests => {
    const connections = new WeakMap<Socket, Connection>();

    const handleNext = (connection: Connection, read: ReadRequest): void => {
        const { request, response } = read;
        const { socket } = request;
        connection.open.push(read);
        response.once("close", () => onResponseClose(connection, read, socket));
        if (isDraining()) {
            response.setHeader("connection", "close");
        }
        if (closesConnection(read)) {
            close(connection, socket);
        }
        read.handle();
    };

    const handleHeld = (connection: Connection, socket: Socket): void => {
        if (connection.held.length === 0) {
            return;
        }
        while (connection.open.length < MAX_OPEN_REQUESTS && connection.held.length > 0) {
            const read = connection.held.shift();
            if (read !== undefined) {
                handleNext(connection, read);
            }
        }
        if (connection.held.length === 0) {
            socket.resume();
        }
    };

    /** Aborts the requests behind a response that was cut off, since theirs cannot be delivered. */
    const abortBehind = (connection: Connection, index: number): void => {
        for (const { response } of connection.open.splice(index)) {
            if (isQueued(response)) {
                destroyResponse(response);
            }
        }
    };

    const onResponseClose = (connection: Connection, read: ReadRequest, socket: Socket): void => {
        const index = connection.open.indexOf(read);
        if (index < 0) {
            return;
        }
        connection.open.splice(index, 1);
        if (!read.response.writableFinished) {
            close(connection, socket);
            abortBehind(connection, index);
            return;
        }
        if (closesConnection(read)) {
            close(connection, socket);
        }
        handleHeld(connection, socket);
        if (connection.open.length === 0) {
            connection.refuseMalformed?.();
        }
    };

    const createConnection = (socket: Socket): Connection => {
        const connection: Connection = { open: [], held: [], isClosing: false, refuseMalformed: undefined };
        connections.set(socket, connection);
        socket.setMaxListeners(MAX_SOCKET_LISTENERS);
        socket.once("end", () => close(connection, socket));
        socket.once("close", () => {
            connection.isClosing = true;
            connection.held = [];
            connection.refuseMalformed = undefined;
            abortBehind(connection, 0);
        });
        // Reading a body, or a drained response, starts a paused connection again.
        socket.on("resume", () => {
            if (connection.held.length > 0) {
                socket.pause();
            }
        });
        return connection;
    };

    const addMalformed: PipelinedRequests["addMalformed"] = (socket, { refuse, answer }) => {
        const connection = connections.get(socket);
        const requests = connection === undefined ? [] : [...connection.open, ...connection.held];
        const last = requests.at(-1);
        if (connection === undefined || last === undefined || requests.length === 1 && !last.request.complete) {
            refuse();
            return;
        }
        if (last.request.complete) {
            connection.refuseMalformed ??= refuse;
            return;
        }
        connection.held = connection.held.filter((read) => read !== last);
        if (last.response.headersSent) {
            destroyResponse(last.response);
            return;
        }
        answer(last.response);
        failBody(last.request);
    };

    return {
        add: (read) => {
            const { socket } = read.request;
            const connection = connections.get(socket) ?? createConnection(socket);
            if (connection.isClosing || connection.open.some(closesConnection)) {
                connection.isClosing = true;
                read.request.resume();
                return;
            }
            if (connection.open.length < MAX_OPEN_REQUESTS && connection.held.length === 0) {
                handleNext(connection, read);
                return;
            }
            connection.held.push(read);
            socket.pause();
        },
        addMalformed,
        hasOpenRequests: (socket) => (connections.get(socket)?.open.length ?? 0) > 0,
    };
};
