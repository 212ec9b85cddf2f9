/** Port to a network that transports datagrams, which may be lost, delayed, duplicated or reordered. */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";

/** Address and port at which a node receives datagrams. */
export interface Endpoint {
    readonly address: string;
    readonly port: number;
}

/** The address or port is in use, or the address does not belong to this machine. */
export interface TransportError {
    readonly kind: "BindFailed";
    readonly detail: string;
}

/** Receives a datagram. The payload may contain arbitrary bytes, and `from` may be forged. Must not throw. */
export type ReceiveDatagram = (payload: Uint8Array, from: Endpoint) => void;

/** Transport for datagrams. Datagrams sent before `open` or after closing are lost. */
export interface DatagramTransport {
    /** Starts receiving and returns the bound endpoint. The transport is closed when `signal` aborts. */
    readonly open: (receive: ReceiveDatagram, signal: AbortSignal) => TaskEither<TransportError, Endpoint>;
    /** Sends a datagram without waiting. A datagram that cannot be sent is lost; nothing is thrown. */
    readonly send: (to: Endpoint, payload: Uint8Array) => void;
}

/** Returns the key of an endpoint for use in maps. */
export const formatEndpoint = (endpoint: Endpoint): string => `${endpoint.address}:${endpoint.port}`;
