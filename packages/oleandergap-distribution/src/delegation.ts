/**
 * Delegates a version to one of several candidates and retries until one of them acknowledges it.
 *
 * A datagram may be lost, and a candidate may be dead or frozen before the membership detects it. Without an
 * acknowledgement, all descendants of that candidate in the forwarding tree would miss the version until a later
 * comparison, and a part of the zone would lag by a second or more. If a candidate does not acknowledge the version in
 * time, the next candidate is therefore tried, in turn and repeatedly, up to a maximum number of attempts.
 */
import type { CancelTimer, Clock, Head, NodeId, PartnerName, Sequence } from "oleandergap-types";
import { startTimer } from "./periodic.js";
import type { PeerAddress } from "./ports.js";

/** A version that one of several candidates must accept and forward. */
export interface Delegation {
    readonly head: Head;
    /** Candidates in the order in which they are tried, cyclically. All belong to the same range or zone. */
    readonly candidates: readonly PeerAddress[];
    readonly send: (to: PeerAddress) => void;
    /** Timeout of an acknowledgement, in milliseconds. */
    readonly timeoutMs: number;
    /** Called instead of `send` if the next candidate is this node itself. */
    readonly takeOver: () => void;
}

/** Dependencies of a delegator. Its timers end when `signal` aborts. */
export interface DelegatorDependencies {
    readonly self: () => NodeId;
    /**
     * Returns the sequence in force. Delegations of lower versions are dropped, because the version in force has
     * separate delegations.
     */
    readonly getSequence: (partner: PartnerName) => Sequence;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Identifies a version that a node holds, without its digest. */
export type HeldVersion = Pick<Head, "partner" | "sequence">;

/** Retries delegations until they are acknowledged. */
export interface Delegator {
    /** Starts a delegation. */
    readonly delegate: (delegation: Delegation) => void;
    /** Records that a peer has a version in force, which ends the delegations to it up to that version. */
    readonly acknowledge: (peer: NodeId, version: HeldVersion) => void;
}

/** Maximum number of attempts. After them, only the heads piggybacked on membership datagrams spread the version. */
const MAX_ATTEMPTS = 5;
/** A timer that fires later than this was delayed by a frozen process. Its version is outdated and is not sent. */
const STALE_AFTER_MS = 1_000;

const formatPendingKey = (peer: NodeId, partner: PartnerName): string => `${peer}/${partner}`;

interface PendingAcknowledgement {
    readonly sequence: Sequence;
    readonly cancel: CancelTimer;
}

/** Creates the delegator of one node. */
export const createDelegator = ({ self, getSequence, clock, signal }: DelegatorDependencies): Delegator => {
    const pendingAcknowledgements = new Map<string, readonly PendingAcknowledgement[]>();

    const addPending = (key: string, pending: PendingAcknowledgement): void => {
        pendingAcknowledgements.set(key, [...pendingAcknowledgements.get(key) ?? [], pending]);
    };

    const removePending = (key: string, pending: PendingAcknowledgement): void => {
        const others = (pendingAcknowledgements.get(key) ?? []).filter((other) => other !== pending);
        if (others.length === 0) {
            pendingAcknowledgements.delete(key);
        }
        else {
            pendingAcknowledgements.set(key, others);
        }
    };

    const tryCandidate = (delegation: Delegation, attempt: number): void => {
        const { head, candidates, send, takeOver, timeoutMs } = delegation;
        const candidate = candidates[attempt % candidates.length];
        const isSuperseded = getSequence(head.partner) > head.sequence;
        if (candidate === undefined || attempt >= MAX_ATTEMPTS || isSuperseded) {
            return;
        }
        if (candidate.id === self()) {
            takeOver();
            return;
        }
        const key = formatPendingKey(candidate.id, head.partner);
        const dueAt = clock.monotonic() + timeoutMs;
        const cancel = startTimer(clock, signal, timeoutMs, () => {
            removePending(key, pending);
            if (clock.monotonic() - dueAt < STALE_AFTER_MS) {
                tryCandidate(delegation, attempt + 1);
            }
        });
        const pending: PendingAcknowledgement = { sequence: head.sequence, cancel };
        addPending(key, pending);
        send(candidate);
    };

    return {
        delegate: (delegation) => tryCandidate(delegation, 0),
        acknowledge: (peer, version) => {
            const key = formatPendingKey(peer, version.partner);
            for (const pending of pendingAcknowledgements.get(key) ?? []) {
                if (pending.sequence <= version.sequence) {
                    pending.cancel();
                    removePending(key, pending);
                }
            }
        },
    };
};
