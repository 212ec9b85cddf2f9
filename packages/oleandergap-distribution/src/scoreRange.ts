/**
 * Orders the members of an availability zone for the forwarding of one version, and divides that order into parts. Each
 * member has a score, which is a hash of its id and the version. A node that forwards a version over a range of scores
 * divides the members that its membership view contains in that range into a few parts. It hands over the version and
 * the part to the first member of each part.
 *
 * The range is sent with the version. The membership views of nodes differ while nodes start and die. With ranges, such
 * a difference affects only the members in question: a member that is missing in the view of the sender is reached by
 * another node whose view contains it. If each node computed positions in a tree on its own, each difference would
 * shift the positions of all members.
 */
import type { Head } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import { z } from "zod";
import type { PeerAddress } from "./ports.js";

const SCORE_LIMIT = 2 ** 32;

const scoreSchema = z.number().int().min(0).max(SCORE_LIMIT);

/** Schema of a range of scores from `from` (inclusive) to `to` (exclusive). */
export const scoreRangeSchema = z.strictObject({ from: scoreSchema, to: scoreSchema });
/** See {@link scoreRangeSchema}. */
export type ScoreRange = z.infer<typeof scoreRangeSchema>;

/** The range that contains all members. */
export const WHOLE_RANGE: ScoreRange = { from: 0, to: SCORE_LIMIT };

/** A part of a range, and its members ordered by score. */
export interface RangePart {
    readonly range: ScoreRange;
    readonly members: readonly PeerAddress[];
}

interface ScoredMember {
    readonly member: PeerAddress;
    readonly score: number;
}

const compareScoredMembers = (left: ScoredMember, right: ScoredMember): number =>
    left.score - right.score || (left.member.id < right.member.id ? -1 : 1);

const scoreMembers = (head: Head, members: readonly PeerAddress[], range: ScoreRange): readonly ScoredMember[] => {
    const key = `${head.partner}/${head.digest}`;
    return members
        .map((member) => ({ member, score: hashText(`${key}\n${member.id}`) }))
        .filter(({ score }) => score >= range.from && score < range.to)
        .sort(compareScoredMembers);
};

/** Returns the members of a range, in the order of the version `head`. */
export const orderMembers = (
    head: Head,
    members: readonly PeerAddress[],
    range: ScoreRange = WHOLE_RANGE,
): readonly PeerAddress[] => scoreMembers(head, members, range).map(({ member }) => member);

/** Divides a range into at most `count` parts with about equal numbers of members. The parts cover the whole range. */
export const divideRange = (
    head: Head,
    members: readonly PeerAddress[],
    range: ScoreRange,
    count: number,
): readonly RangePart[] => {
    const scoredMembers = scoreMembers(head, members, range);
    const parts = Math.min(count, scoredMembers.length);
    const startIndexes = Array.from({ length: parts }, (_, part) => Math.floor((part * scoredMembers.length) / parts));
    const getBoundary = (part: number): number => {
        const start = startIndexes[part];
        return start === undefined ? range.to : scoredMembers[start]?.score ?? range.to;
    };
    return startIndexes.map((start, part) => ({
        range: { from: part === 0 ? range.from : getBoundary(part), to: getBoundary(part + 1) },
        members: scoredMembers.slice(start, startIndexes[part + 1]).map(({ member }) => member),
    }));
};
