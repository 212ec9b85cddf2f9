/**
 * Hands a version to one of several candidates and makes sure that one of them has taken it.
 *
 * A datagram may be lost, and a candidate may be dead or frozen without anybody knowing yet. Without an
 * acknowledgement, everybody behind that candidate would miss the version until some later comparison; one would see
 * a part of a zone lag by a second or more. Each candidate is therefore tried twice, and then the next one takes its
 * place.
 */
import type { CancelTimer, Clock, Head, NodeId, PartnerName, Sequence } from "oleandergap-types";
import { startTimer } from "./periodic.js";
import type { PeerAddress } from "./ports.js";

/** A version that one of several candidates is to take over. */
export interface Delegation {
    readonly head: Head;
    /** In the order in which they are tried, over and over; all belong to the same range or zone. */
    readonly candidates: readonly PeerAddress[];
    readonly send: (to: PeerAddress) => void;
    readonly timeoutMs: number;
    /** Called instead of `send` when the turn comes to a candidate that is this node itself. */
    readonly takeOver: () => void;
}

/** What a delegator works with; its timers end when `signal` aborts. */
export interface DelegatorDependencies {
    readonly self: () => NodeId;
    /** The version in force; a delegation of a lower one is dropped, because the higher one has its own. */
    readonly getSequence: (partner: PartnerName) => Sequence;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** A version by its number alone. */
export type HeldVersion = Pick<Head, "partner" | "sequence">;

/** Sends delegations again until they are acknowledged. */
export interface Delegator {
    readonly delegate: (delegation: Delegation) => void;
    /** Notes that a peer has a version in force. */
    readonly acknowledge: (peer: NodeId, version: HeldVersion) => void;
}

/** Beyond these, the version is left to the heads that ride on the membership's datagrams. */
const MAX_ATTEMPTS = 5;
/** A timer later than this was held up by a frozen process; what it was to send is no news any more. */
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
