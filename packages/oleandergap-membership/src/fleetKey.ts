/**
 * The keys that all nodes of a fleet share, and what is derived from them. Datagrams and HTTP requests get derived keys
 * of their own, so that what is sent in one place proves nothing in another.
 */
import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from "node:crypto";
import { isIPv6 } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatEndpoint, type Endpoint } from "./transport.js";

/** Shortest key, in bytes of text. */
export const MIN_FLEET_KEY_BYTES = 32;
/** The one in use, and one that is on its way in or out. */
const MAX_KEYS = 2;
const HASH = "sha256";
/** Longer ones would cost bytes at every call between nodes; guesses can only be tried against a node. */
const BEARER_TOKEN_BYTES = 16;

/** What one key stands for. Holds the key itself nowhere. */
export interface FleetKey {
    /** Authenticates datagrams. */
    readonly datagramKey: KeyObject;
    /** Authenticates HTTP requests between nodes. */
    readonly requestKey: KeyObject;
}

/** The first is used for what is sent; all are accepted for what arrives. */
export type FleetKeys = readonly [FleetKey, ...FleetKey[]];

/** Gives the keys that hold at the moment, so that they can be replaced while a node runs. */
export type ReadFleetKeys = () => FleetKeys;

/** Why a text holds no keys; never shows any of it. */
export interface FleetKeyError {
    readonly kind: "BadFleetKey";
    readonly problem: string;
}

const deriveKey = (key: string, purpose: string): KeyObject =>
    createSecretKey(createHmac(HASH, key).update(`oleandergap ${purpose}`).digest());

const createFleetKey = (key: string): FleetKey => ({
    datagramKey: deriveKey(key, "datagram"),
    requestKey: deriveKey(key, "request"),
});

const createKeyError = (problem: string): Either<FleetKeyError, never> => either.left({ kind: "BadFleetKey", problem });

/** Reads one key per line, the one in use first. */
export const parseFleetKeys = (text: string): Either<FleetKeyError, FleetKeys> => {
    const lines = text.split("\n").map((line) => line.trim()).filter((line) => line !== "");
    const [first, ...others] = lines;
    if (first === undefined || others.length >= MAX_KEYS) {
        return createKeyError(`It must hold one or two keys, one per line; found ${lines.length}.`);
    }
    if (lines.some((line) => Buffer.byteLength(line) < MIN_FLEET_KEY_BYTES)) {
        return createKeyError(`A key must have at least ${MIN_FLEET_KEY_BYTES} bytes.`);
    }
    return either.right([createFleetKey(first), ...others.map(createFleetKey)]);
};

/** IPv6 addresses have several spellings; both ends must hash the same one. */
const normalizeAddress = (address: string): string =>
    isIPv6(address) ? new URL(`http://[${address}]`).hostname : address;

const computeBearerToken = ({ requestKey }: FleetKey, to: Endpoint): Buffer =>
    createHmac(HASH, requestKey)
        .update(formatEndpoint({ address: normalizeAddress(to.address), port: to.port }))
        .digest()
        .subarray(0, BEARER_TOKEN_BYTES);

const BEARER_PATTERN = /^Bearer ([\w-]+)$/;

/**
 * Value of the `authorization` header of a request to a node. It holds for that node only: whoever lures a node into
 * calling a foreign address learns nothing that others accept.
 */
export const createPeerAuthorization = ([current]: FleetKeys, to: Endpoint): string =>
    `Bearer ${computeBearerToken(current, to).toString("base64url")}`;

/** Whether a request that arrived at `self` comes from a node of the fleet. Compares in constant time. */
export const isPeerAuthorized = (keys: FleetKeys, self: Endpoint, authorization: string | undefined): boolean => {
    const receivedToken = Buffer.from(BEARER_PATTERN.exec(authorization ?? "")?.[1] ?? "", "base64url");
    if (receivedToken.length !== BEARER_TOKEN_BYTES) {
        return false;
    }
    return keys.some((key) => timingSafeEqual(receivedToken, computeBearerToken(key, self)));
};
