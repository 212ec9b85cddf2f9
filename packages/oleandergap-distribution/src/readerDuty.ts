/**
 * Which members of an availability zone read the platform. It follows from a rendezvous hash that each member computes
 * alone: the first few poll, some more stand by, and nobody else ever polls. Two nodes that both hold the duty cost a
 * read more; a duty that nobody holds for a moment costs a moment.
 *
 * Members with wide links come first. Where versions are read whole, a narrow link is full for seconds with each of
 * them, so that requests through that node wait, and the members that hear from it are late; see `countReaders`.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, LinkClass, Milliseconds } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { callWithTimeout } from "./boundedCall.js";
import type { ReaderOptions } from "./options.js";
import type { FleetMember, FleetPort, PeerAddress, PeerPort } from "./ports.js";

const getLinkClass = ({ linkClass }: FleetMember): LinkClass => linkClass ?? 0;

/** Members of the zone in the order in which they take up reading: wide links first, by hash among equals. */
export const rankReaders = (fleet: Pick<FleetPort, "self" | "members">): readonly FleetMember[] =>
    [...rankByRendezvous(`readers/${fleet.self().zone}`, fleet.members(), (member) => member.id)]
        .sort((left, right) => getLinkClass(right) - getLinkClass(left));

/** Readers of a zone whatever their links: one alone may be dead or cut off for a while unnoticed. */
const MIN_READERS = 2;
/** Links of neighbouring classes, up to four times as wide as each other, count as alike. */
const SIMILAR_CLASS_DISTANCE = 1;

/**
 * How many of the ranked members read. Those with far narrower links than the first stand by while two others read: in
 * a fleet with a few wide links, eleven nodes with narrow ones lost the platform for three seconds each while versions
 * of 0.37 MB came, and those that read one in time had it 0.1 s after the first in the median.
 */
export const countReaders = (ranked: readonly FleetMember[], readers: number): number => {
    const widest = ranked[0] === undefined ? 0 : getLinkClass(ranked[0]);
    const similarMembers = ranked.filter((member) => getLinkClass(member) >= widest - SIMILAR_CLASS_DISTANCE).length;
    return Math.min(readers, Math.max(similarMembers, MIN_READERS));
};

/** What a reader's duty works with. */
export interface ReaderRoleDependencies {
    readonly fleet: Pick<FleetPort, "self" | "members">;
    readonly peers: Pick<PeerPort, "ping">;
    readonly clock: Clock;
    readonly options: Pick<ReaderOptions, "readers" | "standbys" | "stepMs">;
    /** Time that one question to a better ranked node may take. */
    readonly timeoutMs: Milliseconds;
    /** Called with the latest sign of the platform that better ranked nodes gave; never before the duty was created. */
    readonly noteHeard: (at: Milliseconds) => void;
}

/** Whether this node polls the platform for its availability zone. */
export interface ReaderRole {
    /** Ranks the members anew and, as a standby, asks those before this node for a sign of the platform. */
    readonly update: (signal: AbortSignal) => Promise<void>;
    /** Infinite before the first update and while this node is not among the members. */
    readonly rank: () => number;
    /** Whether this node's rank makes it poll, whatever the others do. */
    readonly isReader: () => boolean;
    /** Whether this node polls now. */
    readonly isReading: () => boolean;
}

/** Creates the duty of one node; nobody polls before the first update. */
export const createReaderRole = ({
    fleet,
    peers,
    clock,
    options,
    timeoutMs,
    noteHeard,
}: ReaderRoleDependencies): ReaderRole => {
    /**
     * When the platform was last heard from by a better ranked node, and the creation of the duty until then; what this
     * node reads itself does not end its own duty.
     */
    let lastContactAt = clock.monotonic();
    let rank = Number.POSITIVE_INFINITY;
    let { readers } = options;
    let isReading = false;

    const updateRank = (): readonly PeerAddress[] => {
        const ranked = rankReaders(fleet);
        const ownIndex = ranked.findIndex((member) => member.id === fleet.self().id);
        rank = ownIndex < 0 ? Number.POSITIVE_INFINITY : ownIndex;
        readers = countReaders(ranked, options.readers);
        return ranked.slice(0, Math.min(rank, options.readers + options.standbys));
    };

    /** Asks one node after the other until one has a recent sign of the platform. */
    const queryBetterRanked = async (betterRanked: readonly PeerAddress[], signal: AbortSignal): Promise<void> => {
        for (const peer of betterRanked) {
            const requestedAt = clock.monotonic();
            const limits = { clock, timeoutMs, signal };
            const answer = await callWithTimeout((inner) => peers.ping(peer, inner), limits);
            const age = either.isRight(answer) ? answer.right.platformAgeMs : undefined;
            if (age !== undefined) {
                lastContactAt = Math.max(lastContactAt, requestedAt - age);
                noteHeard(lastContactAt);
            }
            if (age !== undefined && age < options.stepMs) {
                return;
            }
        }
    };

    /**
     * Readers may be dead, frozen, or alive and cut off from the platform; all three look the same to their zone: no
     * fresh sign of the platform. Waiting by rank makes one standby step in at a time instead of all at once.
     */
    const update = async (signal: AbortSignal): Promise<void> => {
        const betterRanked = updateRank();
        if (rank < readers) {
            isReading = true;
            return;
        }
        if (rank >= options.readers + options.standbys) {
            isReading = false;
            return;
        }
        await queryBetterRanked(betterRanked, signal);
        const standbyRank = rank - readers + 1;
        isReading = clock.monotonic() - lastContactAt > standbyRank * options.stepMs;
    };

    return { update, rank: () => rank, isReader: () => rank < readers, isReading: () => isReading };
};
