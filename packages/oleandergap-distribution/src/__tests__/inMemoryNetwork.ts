/**
 * A network for tests that carries datagrams and calls between nodes, with loss, duplicates, cuts and counted bytes.
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
    /** One-way delay in milliseconds: the least, and what is added at random, which reorders datagrams. */
    readonly delayMs: number;
    readonly jitterMs: number;
}

export const healthyNetwork: NetworkFaults = { lossShare: 0, duplicateShare: 0, delayMs: 0.5, jitterMs: 0.5 };

/** Headers of IP and UDP. */
const DATAGRAM_OVERHEAD_BYTES = 28;
/** HTTP headers of both ways of a call, as the peer client counts them over loopback. */
const CALL_HEADER_BYTES = 223;
/** Four segments carry a call on an open connection; opening and closing one takes eight more. */
const SEGMENT_BYTES = 40;
const SEGMENTS_PER_CALL = 4;
const SEGMENTS_PER_CONNECTION = 8;
/** The client gives up a peer that is silent for this time. */
const FROZEN_PEER_TIMEOUT_MS = 1_000;
/** A connection is kept open for this time after a call. */
const IDLE_CONNECTION_MS = 4_000;

export interface InMemoryNetwork {
    /** Without a size the bytes are another part's and are not counted. */
    readonly sendDatagram: (
        from: PeerAddress,
        to: PeerAddress,
        bytes: number | undefined,
        deliver: () => void,
    ) => void;
    /** Runs `answer` at the peer, or fails: at once when there is no way to it, after a silence if it is frozen. */
    readonly call: <Answer>(
        from: PeerAddress,
        to: PeerAddress,
        question: unknown,
        answer: () => Promise<Answer>,
    ) => TaskEither<PeerError, Answer>;
    readonly setFaults: (faults: NetworkFaults) => void;
    /** Decides which pairs of nodes can reach each other. */
    readonly setCut: (isCut: (from: PeerAddress, to: PeerAddress) => boolean) => void;
    /** Bytes sent by each node. */
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
    /** Half of what a call costs beside its content; each end sends about as much. */
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
        call: (from, to, question, answer) => async () => {
            const overhead = measureCall(from, to);
            countBytes(from, measureJson(question) + overhead);
            // Opening the connection costs a round trip before the question travels.
            await wait(3 * drawOneWayDelay());
            if (!isReachable(from, to)) {
                return either.left({ kind: "Unreachable", detail: "cut" });
            }
            if (isFrozen(to.id)) {
                await wait(FROZEN_PEER_TIMEOUT_MS);
                return either.left({ kind: "Unreachable", detail: "silent" });
            }
            const result = await answer();
            countBytes(to, measureJson(result) + overhead);
            await wait(drawOneWayDelay());
            return isReachable(from, to) ?
                either.right(result) :
                either.left({ kind: "Unreachable", detail: "cut" });
        },
    };
};
