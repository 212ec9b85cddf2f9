/**
 * The order in which the members of an availability zone stand for the spread of one version, and how that order is
 * divided. Each member has a score, a hash of its name and the version. Whoever spreads a version over a range of
 * scores divides the members that it knows in that range into a few parts and hands each part to its first member.
 *
 * The range travels with the version. Members whose views of the zone differ, as they do while nodes start and die,
 * thus disagree only about the nodes in question: a member that the sender does not know is reached by whoever knows
 * it. Positions in a tree that each computes alone would shift for everybody with every difference.
 */
import type { Head } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import { z } from "zod";
import type { PeerAddress } from "./ports.js";

const SCORE_LIMIT = 2 ** 32;

const scoreSchema = z.number().int().min(0).max(SCORE_LIMIT);

/** From `from` (included) to `to` (excluded). */
export const scoreRangeSchema = z.strictObject({ from: scoreSchema, to: scoreSchema });
/** See {@link scoreRangeSchema}. */
export type ScoreRange = z.infer<typeof scoreRangeSchema>;

/** All members. */
export const WHOLE_RANGE: ScoreRange = { from: 0, to: SCORE_LIMIT };

/** A part of a range and its members, in order. */
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

/** The members of a range, in the order of a version. */
export const orderMembers = (
    head: Head,
    members: readonly PeerAddress[],
    range: ScoreRange = WHOLE_RANGE,
): readonly PeerAddress[] => scoreMembers(head, members, range).map(({ member }) => member);

/** Divides a range into at most `count` parts with about equal numbers of members; together they cover all of it. */
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
