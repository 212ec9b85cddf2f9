/**
 * Measures how many partitions change their owner when a member leaves, compared with the minimum, and how evenly the
 * partitions are distributed.
 */
import { rankOwners } from "../ownership/partitions.js";
import { SIMULATED_SERVICE } from "./simulatedNode.js";

export interface MoveFigures {
    readonly partitions: number;
    readonly members: number;
    /** Mean number of partitions that change their owner when one member leaves, over all members. */
    readonly meanMoves: number;
    /** Mean number of partitions that a member owns: the minimum that must change their owner when it leaves. */
    readonly meanLeastMoves: number;
    /** Ratio of the partitions of the member with the most partitions to the mean. */
    readonly fullestOverMean: number;
}

const assignOwners = (partitions: number, members: readonly string[]): readonly (string | undefined)[] =>
    Array.from({ length: partitions }, (_, partition) =>
        rankOwners({ service: SIMULATED_SERVICE, partition }, members)[0]);

export const measurePartitionMoves = (partitions: number, memberCount: number): MoveFigures => {
    const members = Array.from({ length: memberCount }, (_, index) => `node-${index}`);
    const before = assignOwners(partitions, members);
    const counts = members.map((member) => before.filter((owner) => owner === member).length);
    const moves = members.map((removedMember) => {
        const after = assignOwners(partitions, members.filter((member) => member !== removedMember));
        return after.filter((owner, partition) => owner !== before[partition]).length;
    });
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    return {
        partitions,
        members: memberCount,
        meanMoves: sum(moves) / memberCount,
        meanLeastMoves: sum(counts) / memberCount,
        fullestOverMean: Math.max(...counts) / (partitions / memberCount),
    };
};
