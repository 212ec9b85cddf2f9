/**
 * Keys shared by all nodes of a fleet, and the credentials derived from them. Datagrams and HTTP requests use separate
 * derived keys, so that a credential captured on one channel is not valid on the other.
 */
import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from "node:crypto";
import { isIPv6 } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatEndpoint, type Endpoint } from "./transport.js";

/** Minimum length of a key in bytes of text. */
export const MIN_FLEET_KEY_BYTES = 32;
/** Largest number of accepted keys: the current one and one that is being introduced or retired. */
const MAX_KEYS = 2;
const HASH = "sha256";
/**
 * Length of a bearer token in bytes. A longer token would add bytes to every call between nodes, and guesses can only
 * be tested against a running node.
 */
const BEARER_TOKEN_BYTES = 16;

/** Keys derived from one fleet key. The fleet key itself is not stored. */
export interface FleetKey {
    /** Key that authenticates datagrams. */
    readonly datagramKey: KeyObject;
    /** Key that authenticates HTTP requests between nodes. */
    readonly requestKey: KeyObject;
}

/** Accepted keys. The first key is used for sending; all keys are accepted when receiving. */
export type FleetKeys = readonly [FleetKey, ...FleetKey[]];

/** Returns the currently accepted keys, so that they can be replaced while a node is running. */
export type ReadFleetKeys = () => FleetKeys;

/** Reason why a text contains no valid keys. It never includes any part of the text. */
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

/** Parses a text with one key per line; the current key comes first. */
export const parseFleetKeys = (text: string): Either<FleetKeyError, FleetKeys> => {
    const lines = text.split("\n").map((line) => line.trim()).filter((line) => line !== "");
    const [first, ...others] = lines;
    if (first === undefined || others.length >= MAX_KEYS) {
        return createKeyError(`It must contain one or two keys, one per line; found ${lines.length}.`);
    }
    if (lines.some((line) => Buffer.byteLength(line) < MIN_FLEET_KEY_BYTES)) {
        return createKeyError(`A key must have at least ${MIN_FLEET_KEY_BYTES} bytes.`);
    }
    return either.right([createFleetKey(first), ...others.map(createFleetKey)]);
};

/** Normalizes an IPv6 address, which can be written in several ways, because both sides must hash the same text. */
const normalizeAddress = (address: string): string =>
    isIPv6(address) ? new URL(`http://[${address}]`).hostname : address;

const computeBearerToken = ({ requestKey }: FleetKey, to: Endpoint): Buffer =>
    createHmac(HASH, requestKey)
        .update(formatEndpoint({ address: normalizeAddress(to.address), port: to.port }))
        .digest()
        .subarray(0, BEARER_TOKEN_BYTES);

const BEARER_PATTERN = /^Bearer ([\w-]+)$/;

/**
 * Returns the value of the `authorization` header for a request to the node at `to`. The value is valid for this node
 * only, so an attacker who tricks a node into calling another address gets no credential that other nodes accept.
 */
export const createPeerAuthorization = ([current]: FleetKeys, to: Endpoint): string =>
    `Bearer ${computeBearerToken(current, to).toString("base64url")}`;

/**
 * Returns whether a request received at `self` comes from a node of the fleet. Tokens are compared in constant time.
 */
export const isPeerAuthorized = (keys: FleetKeys, self: Endpoint, authorization: string | undefined): boolean => {
    const receivedToken = Buffer.from(BEARER_PATTERN.exec(authorization ?? "")?.[1] ?? "", "base64url");
    if (receivedToken.length !== BEARER_TOKEN_BYTES) {
        return false;
    }
    return keys.some((key) => timingSafeEqual(receivedToken, computeBearerToken(key, self)));
};
