/**
 * Limits the platform reads of the whole fleet without coordination: every node computes its share from the number of
 * nodes in its membership view.
 *
 * After a failure of many nodes, all of them would read the platform at the same time. The platform would be overloaded
 * just when it is needed, and the retries would keep it overloaded. The shares of all nodes add up to the configured
 * total, whatever the number of nodes.
 */
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";
import { createTokenBucket, type TokenBucket } from "oleandergap-utils";
import type { BudgetOptions, ReaderOptions } from "./options.js";

/** Platform reads per whole document: the head, the snapshot, and the deltas after the snapshot. */
export const READS_PER_DOCUMENT = 3;

/** Dependencies of a read budget. */
export interface ReadBudgetDependencies {
    readonly clock: Clock;
    readonly options: BudgetOptions;
    readonly reader: Pick<ReaderOptions, "readers" | "standbys">;
    /** Returns the number of members of the local availability zone, including this node. */
    readonly zoneSize: () => number;
    /** Returns this node's rank among the candidate readers of its zone. */
    readonly rank: () => number;
}

/** One node's share of the platform reads allowed for the fleet. */
export interface ReadBudget {
    /**
     * Reserves budget for a call that makes `reads` platform reads, one by default, if the call may start now. The call
     * may start as soon as one read is available. The remaining reads are a debt, and no further call may start until
     * it is repaid. Returns whether the call may start.
     */
    readonly tryTake: (reads?: number) => boolean;
    /** Returns the time until the next read is available; 0 if one is available now. */
    readonly timeToNext: () => Milliseconds;
    /** Returns the time that the budget needs for every node of the fleet to recover from the platform in turn. */
    readonly fleetRecoveryTime: () => Milliseconds;
}

/** Burst of a reader: it may read the heads and the deltas of each partner without a pause. */
const READER_BURST = 6;
/**
 * Burst of other nodes. They read to recover, or after a change was accepted at them while they did not hold its base
 * version.
 */
const NON_READER_BURST = 3;
/** Platform reads per recovery: the heads, and one document of each of two partners. */
const READS_PER_RECOVERY = 1 + 2 * READS_PER_DOCUMENT;

/** Creates the budget of one node. Its rate depends on the node's rank and on the size of its zone. */
export const createReadBudget = ({ clock, options, reader, zoneSize, rank }: ReadBudgetDependencies): ReadBudget => {
    const fleetReaderCount = options.zones * (reader.readers + reader.standbys);
    const countFleetNodes = (): number => options.zones * Math.max(1, zoneSize());

    const readerBucket = createTokenBucket({
        clock,
        ratePerSecond: () => options.readerReadsPerSecond / fleetReaderCount,
        burst: READER_BURST,
    });
    const nonReaderBucket = createTokenBucket({
        clock,
        ratePerSecond: () => options.recoveryReadsPerSecond / countFleetNodes(),
        burst: NON_READER_BURST,
    });
    const getBucket = (): TokenBucket =>
        rank() < reader.readers + reader.standbys ? readerBucket : nonReaderBucket;

    let owedReads = 0;
    const repayOwedReads = (): void => {
        while (owedReads > 0 && getBucket().tryTake()) {
            owedReads -= 1;
        }
    };

    return {
        tryTake: (reads = 1) => {
            repayOwedReads();
            if (owedReads > 0 || !getBucket().tryTake()) {
                return false;
            }
            owedReads = reads - 1;
            return true;
        },
        timeToNext: () => {
            repayOwedReads();
            return getBucket().timeToNext();
        },
        fleetRecoveryTime: () =>
            (countFleetNodes() * READS_PER_RECOVERY / options.recoveryReadsPerSecond) * MILLISECONDS_PER_SECOND,
    };
};
