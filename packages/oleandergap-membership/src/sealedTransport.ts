/**
 * Authenticates datagrams with the fleet's key. Without it, whoever reaches the control port could pose as a member:
 * declare others dead, lure requests to an address of its own, or make nodes fetch versions that do not exist.
 *
 * A seal is a truncated HMAC-SHA256 over the sender's endpoint and the payload, appended to it. The endpoint is covered
 * because nodes answer and call back to where a datagram came from: a copied datagram that is sent again from another
 * address would otherwise make its new sender a contact. It adds no bytes. The receiver is not covered, so that one
 * payload may go to several. Contents are not encrypted.
 */
import { createHmac, timingSafeEqual, type KeyObject } from "node:crypto";
import * as either from "fp-ts/lib/Either.js";
import type { ReadFleetKeys } from "./fleetKey.js";
import { formatEndpoint, type DatagramTransport, type Endpoint } from "./transport.js";

/**
 * Bytes of a seal. A forger can only guess at a running node: 2^64 datagrams, some 5 million years at 100,000 a second.
 * Twice the length would double the cost, which every datagram bears.
 */
export const SEAL_BYTES = 8;

/** Counts since the creation; bytes are those of the seals alone. */
export interface SealStatistics {
    readonly sealBytesSent: number;
    readonly sealBytesReceived: number;
    /** Datagrams dropped because no accepted key made their seal. */
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

/** Wraps a transport. Both sides must see the sender under the same address: there may be no NAT between nodes. */
export const createSealedTransport = ({ transport, readKeys }: SealedTransportDependencies): SealedTransport => {
    const counts = { sealBytesSent: 0, sealBytesReceived: 0, rejected: 0 };
    let self: Endpoint | undefined;

    /** The payload, or undefined when none of the keys made its seal. */
    const verifySeal = (sealed: Uint8Array, from: Endpoint): Uint8Array | undefined => {
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
                const payload = verifySeal(sealed, from);
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
