/**
 * Authenticates datagrams with the fleet key. Otherwise, anyone who can reach the control port could impersonate a
 * member: declare other members dead, redirect requests to their own address, or make nodes fetch versions that do not
 * exist.
 *
 * A seal is a truncated HMAC-SHA256 over the endpoint of the sender and the payload. It is appended to the payload. The
 * endpoint is included because nodes reply and connect to the source address of a datagram: a copied datagram that is
 * replayed from another address would otherwise make the attacker a contact. Including the endpoint adds no bytes. The
 * receiver is not included, so that the same payload can be sent to several receivers. The content is not encrypted.
 */
import { createHmac, timingSafeEqual, type KeyObject } from "node:crypto";
import * as either from "fp-ts/lib/Either.js";
import type { ReadFleetKeys } from "./fleetKey.js";
import { formatEndpoint, type DatagramTransport, type Endpoint } from "./transport.js";

/**
 * Size of a seal in bytes. An attacker can only test guesses against a running node, which takes 2^64 datagrams, or
 * about 5 million years at 100,000 datagrams per second. A seal of twice the length would double the overhead of every
 * datagram.
 */
export const SEAL_BYTES = 8;

/** Counters since the transport was created. The byte counts cover the seals only. */
export interface SealStatistics {
    readonly sealBytesSent: number;
    readonly sealBytesReceived: number;
    /** Number of datagrams dropped because their seal does not match any accepted key. */
    readonly rejected: number;
}

export interface SealedTransport extends DatagramTransport {
    readonly stats: () => SealStatistics;
}

export interface SealedTransportDependencies {
    readonly transport: DatagramTransport;
    readonly readKeys: ReadFleetKeys;
}

const computeSeal = (key: KeyObject, from: Endpoint, payload: Uint8Array): Buffer =>
    createHmac("sha256", key)
        .update(`${formatEndpoint(from)}\n`)
        .update(payload)
        .digest()
        .subarray(0, SEAL_BYTES);

/**
 * Creates a transport that wraps another one. The receiver must see the same source address that the sender has bound,
 * so there must be no NAT between nodes.
 */
export const createSealedTransport = ({ transport, readKeys }: SealedTransportDependencies): SealedTransport => {
    const counts = { sealBytesSent: 0, sealBytesReceived: 0, rejected: 0 };
    let self: Endpoint | undefined;

    /** Returns the payload without its seal, or undefined if the seal does not match any accepted key. */
    const verifyAndRemoveSeal = (sealed: Uint8Array, from: Endpoint): Uint8Array | undefined => {
        const payload = sealed.subarray(0, Math.max(0, sealed.length - SEAL_BYTES));
        const seal = sealed.subarray(payload.length);
        if (seal.length !== SEAL_BYTES) {
            return undefined;
        }
        const isAuthentic = readKeys().some(({ datagramKey }) =>
            timingSafeEqual(seal, computeSeal(datagramKey, from, payload)));
        return isAuthentic ? payload : undefined;
    };

    return {
        open: (receive, signal) => async () => {
            const opened = await transport.open((sealed, from) => {
                const payload = verifyAndRemoveSeal(sealed, from);
                if (payload === undefined) {
                    counts.rejected += 1;
                    return;
                }
                counts.sealBytesReceived += SEAL_BYTES;
                receive(payload, from);
            }, signal)();
            if (either.isRight(opened)) {
                self = opened.right;
            }
            return opened;
        },
        send: (to, payload) => {
            if (self === undefined) {
                return;
            }
            const [current] = readKeys();
            const sealed = Buffer.allocUnsafe(payload.length + SEAL_BYTES);
            sealed.set(payload);
            sealed.set(computeSeal(current.datagramKey, self, payload), payload.length);
            counts.sealBytesSent += SEAL_BYTES;
            transport.send(to, sealed);
        },
        stats: () => ({ ...counts }),
    };
};
