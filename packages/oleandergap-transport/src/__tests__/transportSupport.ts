/** Test support: pools on loopback, targets that violate the protocol, and receivers that record what they are told. */
import type { Socket } from "node:net";
import type { Clock } from "oleandergap-types";
import { createSystemClock } from "oleandergap-utils";
import { LOOPBACK, startRawTarget, waitUntil, type Cleanup } from "./loopback.js";
import { createConnector } from "../connector.js";
import { createHttpPool, type HttpPool } from "../httpPool.js";
import type { OutgoingRequest, RequestControl, RequestTransport } from "../requestTransport.js";

/** A complete response that keeps the connection open. */
export const OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** What a receiver is told about the response {@link OK}. */
export const OK_EVENTS = ["sent", "head 200", "data ok", "end"];

export interface SentRequest {
    readonly control: RequestControl;
    /** What the receiver was told, in order; chunks of the body are joined. */
    readonly events: string[];
}

export const createOutgoing = (changes: Partial<OutgoingRequest> = {}): OutgoingRequest => ({
    method: "GET",
    path: "/",
    headers: ["host", "grant-filer.halloway"],
    body: { kind: "Empty" },
    bodySilenceMs: 30_000,
    bodyDeadline: Number.POSITIVE_INFINITY,
    ...changes,
});

export const hasEnded = ({ events }: SentRequest): boolean => events.includes("end") || events.includes("error");

export const createPool = (
    cleanup: Cleanup,
    port: number,
    connections = 4,
    clock: Clock = createSystemClock(),
): HttpPool => {
    const connect = createConnector({ clock, timeoutMs: 500 });
    const pool = createHttpPool({ clock, connect, address: LOOPBACK, port, idleMs: 4000 });
    pool.limitConnections(connections);
    cleanup(() => pool.destroy());
    return pool;
};

const recordData = (events: string[], chunk: Buffer): void => {
    const last = events.at(-1) ?? "";
    if (last.startsWith("data ")) {
        events[events.length - 1] = last + chunk.toString();
    }
    else {
        events.push(`data ${chunk.toString()}`);
    }
};

export const send = (transport: RequestTransport, changes: Partial<OutgoingRequest> = {}): SentRequest => {
    const events: string[] = [];
    const control = transport.send(createOutgoing(changes), {
        onSent: () => events.push("sent"),
        onHead: (statusCode) => events.push(`head ${statusCode}`),
        onData: (chunk) => recordData(events, chunk),
        onEnd: () => events.push("end"),
        onError: () => events.push("error"),
    });
    return { control, events };
};

/** Sends a request and returns what its receiver was told until it ended. */
export const receive = async (
    transport: RequestTransport,
    changes: Partial<OutgoingRequest> = {},
): Promise<readonly string[]> => {
    const sent = send(transport, changes);
    await waitUntil(() => hasEnded(sent));
    return sent.events;
};

export interface ScriptedTarget {
    readonly port: number;
    /** All connections that were accepted. */
    readonly sockets: readonly Socket[];
}

/** Starts a target that handles the data of each connection with `respond`; `count` is the number of the data event. */
export const startScriptedTarget = async (
    cleanup: Cleanup,
    respond: (socket: Socket, request: string, count: number) => void,
): Promise<ScriptedTarget> => {
    const sockets: Socket[] = [];
    const port = await startRawTarget(cleanup, (socket) => {
        sockets.push(socket);
        let count = 0;
        socket.on("data", (data) => {
            count += 1;
            respond(socket, data.toString("latin1"), count);
        });
    });
    return { port, sockets };
};
