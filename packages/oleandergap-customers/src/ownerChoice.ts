/**
 * Chooses the pool owner that this node asks and lends its parts to. A node lends to one owner at a time, and to the
 * next one only after the loan has ended for certain.
 */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { LOAN_MS } from "./loanRegistry.js";
import type { Stamp } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";

/** Number of members that are tried before this node lends to itself. */
const CANDIDATES = 2;
/** Interval at which the ranking is computed again. */
const RANKING_MS: Milliseconds = 500;
/** Time for which an owner that stated that it is not ready is avoided. */
const UNREADY_MS: Milliseconds = 500;
/** Time for which a sign of readiness counts. A node moves from one owner to another only after such a sign. */
const READY_MS: Milliseconds = 2000;

/** The owner to ask, and whether to lend to it. */
export interface ChosenOwner {
    readonly owner: QuotaPeer;
    readonly lends: boolean;
    /** Better ranked node whose readiness has to be asked for; undefined if there is none. */
    readonly better: QuotaPeer | undefined;
}

export interface OwnerChoice {
    readonly choose: () => ChosenOwner;
    /** Records that a message arrived from a node, with the stamp it contained. */
    readonly recordStamp: (from: NodeId, stamp: Stamp) => void;
    readonly recordReadiness: (from: NodeId, isReady: boolean) => void;
    /** Records that a node has not answered a message; has no effect if anything has arrived from it since. */
    readonly recordSilence: (node: NodeId, sentAt: Milliseconds) => void;
    readonly findStamp: (node: NodeId) => Stamp | undefined;
    /**
     * Records that a message that lends this node's parts is sent to `node` now, and returns for how long nobody has
     * used them.
     */
    readonly recordLoan: (node: NodeId) => Milliseconds;
    /** Returns the latest end of the loan. */
    readonly loanEndsAt: () => Milliseconds;
}

interface PeerState {
    stamp?: Stamp;
    stampedAt: Milliseconds;
    isSilent: boolean;
    readyAt: Milliseconds;
    unreadyUntil: Milliseconds;
}

/** Ranks the members of a zone: wide links first, then by hash. */
export const rankOwners = (members: readonly QuotaPeer[]): readonly QuotaPeer[] =>
    [...rankByRendezvous("quota", members, ({ id }) => id)]
        .sort((left, right) => (right.linkClass ?? 0) - (left.linkClass ?? 0));

export const createOwnerChoice = (
    clock: Pick<Clock, "monotonic">,
    { self, members }: Pick<QuotaNetwork, "self" | "members">,
): OwnerChoice => {
    const peers = new Map<NodeId, PeerState>();
    const startedAt = clock.monotonic();
    let ranking: readonly QuotaPeer[] = [];
    let rankedAt = Number.NEGATIVE_INFINITY;
    let owner: QuotaPeer | undefined;
    let loanEndsAt = Number.NEGATIVE_INFINITY;
    let lentStamp: Stamp | undefined;
    let idleMs = 0;

    const findPeer = (id: NodeId): PeerState => {
        const known = peers.get(id);
        if (known !== undefined) {
            return known;
        }
        const never = Number.NEGATIVE_INFINITY;
        const created = { stampedAt: never, isSilent: false, readyAt: never, unreadyUntil: never };
        peers.set(id, created);
        return created;
    };

    const updateRanking = (now: Milliseconds): void => {
        if (now - rankedAt < RANKING_MS) {
            return;
        }
        ranking = rankOwners(members());
        rankedAt = now;
        const ids = new Set(ranking.map(({ id }) => id));
        for (const id of peers.keys()) {
            if (!ids.has(id) && id !== owner?.id) {
                peers.delete(id);
            }
        }
    };

    const isUsable = ({ id }: QuotaPeer, now: Milliseconds): boolean => {
        const state = peers.get(id);
        return state === undefined || (!state.isSilent && state.unreadyUntil <= now);
    };

    /** Returns the best candidate. While candidates are merely not ready, nothing is gained by another owner. */
    const findTarget = (now: Milliseconds): QuotaPeer => {
        const candidates = ranking.slice(0, CANDIDATES);
        return candidates.find((candidate) => isUsable(candidate, now)) ??
            candidates.find(({ id }) => peers.get(id)?.isSilent !== true) ??
            self;
    };

    const isConfirmed = ({ id }: QuotaPeer, now: Milliseconds): boolean =>
        id === self.id || now - findPeer(id).readyAt < READY_MS;

    const choose = (): ChosenOwner => {
        const now = clock.monotonic();
        updateRanking(now);
        const target = findTarget(now);
        const better = ranking[0] !== undefined && ranking[0].id !== self.id && ranking[0].id !== target.id ?
            ranking[0] :
            undefined;
        if (owner === undefined || owner.id === target.id || now >= loanEndsAt) {
            owner = target;
            return { owner, lends: true, better };
        }
        if (!isUsable(owner, now)) {
            return { owner: target, lends: false, better };
        }
        return isConfirmed(target, now) ?
            { owner, lends: false, better } :
            { owner, lends: true, better: target };
    };

    return {
        choose,
        recordStamp: (from, stamp) => {
            const state = findPeer(from);
            state.stamp = stamp;
            state.stampedAt = clock.monotonic();
            state.isSilent = false;
        },
        recordReadiness: (from, isReady) => {
            const state = findPeer(from);
            const now = clock.monotonic();
            if (isReady) {
                state.readyAt = now;
                state.unreadyUntil = now;
            }
            else {
                state.unreadyUntil = now + UNREADY_MS;
            }
        },
        recordSilence: (node, sentAt) => {
            const state = findPeer(node);
            state.isSilent ||= node !== self.id && state.stampedAt < sentAt;
        },
        findStamp: (node) => peers.get(node)?.stamp,
        recordLoan: (node) => {
            const now = clock.monotonic();
            const stamp = peers.get(node)?.stamp;
            // A loan that is stated again with the same stamp cannot begin twice, so its idle time is stated again.
            if (stamp === undefined || stamp !== lentStamp) {
                lentStamp = stamp;
                idleMs = Math.max(0, now - Math.max(loanEndsAt, startedAt));
            }
            // The owner counts the loan from its stamp, which was made before the stamp arrived here.
            loanEndsAt = Math.max(loanEndsAt, (peers.get(node)?.stampedAt ?? now) + LOAN_MS);
            return idleMs;
        },
        loanEndsAt: () => loanEndsAt,
    };
};
