/**
 * A network for tests that transfers datagrams and calls between nodes. It simulates loss, duplicates and partitions,
 * and counts bytes.
 */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock, NodeId } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { PeerError } from "../peerError.js";
import type { PeerAddress } from "../ports.js";

export interface NetworkFaults {
    readonly lossShare: number;
    readonly duplicateShare: number;
    /** Minimum one-way delay in milliseconds. */
    readonly delayMs: number;
    /** Maximum random addition to the delay in milliseconds, which reorders datagrams. */
    readonly jitterMs: number;
}

export const healthyNetwork: NetworkFaults = { lossShare: 0, duplicateShare: 0, delayMs: 0.5, jitterMs: 0.5 };

/** Size of the IP and UDP headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;
/** Size of the HTTP headers of the request and response of a call, as the peer client counts them over loopback. */
const CALL_HEADER_BYTES = 223;
/** A call on an open connection takes four segments; opening and closing a connection takes eight more. */
const SEGMENT_BYTES = 40;
const SEGMENTS_PER_CALL = 4;
const SEGMENTS_PER_CONNECTION = 8;
/** Time after which a call to a frozen peer fails. */
const FROZEN_PEER_TIMEOUT_MS = 1_000;
/** Time for which a connection stays open after a call. */
const IDLE_CONNECTION_MS = 4_000;

export interface InMemoryNetwork {
    /** Sends a datagram. Pass no size for bytes of another component, which are not counted. */
    readonly sendDatagram: (
        from: PeerAddress,
        to: PeerAddress,
        bytes: number | undefined,
        deliver: () => void,
    ) => void;
    /** Runs `respond` at the peer. Fails immediately if the peer is unreachable, or after a timeout if it is frozen. */
    readonly call: <Result>(
        from: PeerAddress,
        to: PeerAddress,
        request: unknown,
        respond: () => Promise<Result>,
    ) => TaskEither<PeerError, Result>;
    readonly setFaults: (faults: NetworkFaults) => void;
    /** Sets the predicate of the pairs of nodes that cannot reach each other. */
    readonly setCut: (isCut: (from: PeerAddress, to: PeerAddress) => boolean) => void;
    /** Number of bytes sent by each node. */
    readonly bytes: ReadonlyMap<NodeId, number>;
}

export interface InMemoryNetworkDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly isUp: (node: NodeId) => boolean;
    readonly isFrozen: (node: NodeId) => boolean;
}

const measureJson = (value: unknown): number => value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));

export const createInMemoryNetwork = (
    { clock, random, isUp, isFrozen }: InMemoryNetworkDependencies,
): InMemoryNetwork => {
    let faults = healthyNetwork;
    let isCut = (_from: PeerAddress, _to: PeerAddress): boolean => false;
    const bytes = new Map<NodeId, number>();

    const wait = (delay: number): Promise<void> => new Promise((resolve) => {
        clock.after(delay, resolve);
    });
    const drawOneWayDelay = (): number => faults.delayMs + random() * faults.jitterMs;
    const countBytes = (node: PeerAddress, amount: number): void => {
        bytes.set(node.id, (bytes.get(node.id) ?? 0) + amount);
    };
    const isReachable = (from: PeerAddress, to: PeerAddress): boolean =>
        isUp(from.id) && isUp(to.id) && !isCut(from, to);

    const openUntil = new Map<string, number>();
    /** Returns half of the overhead bytes of a call, because each side sends about half of them. */
    const measureCall = (from: PeerAddress, to: PeerAddress): number => {
        const key = `${from.id}/${to.id}`;
        const isOpen = (openUntil.get(key) ?? 0) > clock.monotonic();
        openUntil.set(key, clock.monotonic() + IDLE_CONNECTION_MS);
        const segments = SEGMENTS_PER_CALL + (isOpen ? 0 : SEGMENTS_PER_CONNECTION);
        return (CALL_HEADER_BYTES + segments * SEGMENT_BYTES) / 2;
    };

    return {
        bytes,
        setFaults: (next) => {
            faults = next;
        },
        setCut: (next) => {
            isCut = next;
        },
        sendDatagram: (from, to, size, deliver) => {
            countBytes(from, size === undefined ? 0 : size + DATAGRAM_OVERHEAD_BYTES);
            const copyCount = random() < faults.duplicateShare ? 2 : 1;
            for (let copy = 0; copy < copyCount; copy++) {
                if (random() >= faults.lossShare) {
                    clock.after(drawOneWayDelay(), () => isReachable(from, to) && !isFrozen(to.id) && deliver());
                }
            }
        },
        call: (from, to, request, respond) => async () => {
            const overhead = measureCall(from, to);
            countBytes(from, measureJson(request) + overhead);
            // Opening the connection takes one round trip before the request is sent.
            await wait(3 * drawOneWayDelay());
            if (!isReachable(from, to)) {
                return either.left({ kind: "Unreachable", detail: "cut" });
            }
            if (isFrozen(to.id)) {
                await wait(FROZEN_PEER_TIMEOUT_MS);
                return either.left({ kind: "Unreachable", detail: "silent" });
            }
            const result = await respond();
            countBytes(to, measureJson(result) + overhead);
            await wait(drawOneWayDelay());
            return isReachable(from, to) ?
                either.right(result) :
                either.left({ kind: "Unreachable", detail: "cut" });
        },
    };
};
