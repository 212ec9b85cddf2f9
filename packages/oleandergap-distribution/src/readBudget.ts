/**
 * Bounds the platform reads of the whole fleet without any agreement: every node derives its share from the number of
 * nodes that it knows.
 *
 * After a failure that hits many nodes at once, each of them would turn to the platform in the same moment; one would
 * see the platform overloaded just when it is needed, and the retries keep it so. The shares of all nodes add up to
 * the configured total, whatever their number.
 */
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";
import { createTokenBucket, type TokenBucket } from "oleandergap-utils";
import type { BudgetOptions, ReaderOptions } from "./options.js";

/** Reads behind a whole document: its head, its snapshot, and the deltas after that. */
export const READS_PER_DOCUMENT = 3;

/** What a read budget works with. */
export interface ReadBudgetDependencies {
    readonly clock: Clock;
    readonly options: BudgetOptions;
    readonly reader: Pick<ReaderOptions, "readers" | "standbys">;
    /** Members of the own availability zone, this node included. */
    readonly zoneSize: () => number;
    /** This node's rank among the readers of its zone. */
    readonly rank: () => number;
}

/** One node's share of the platform reads that the fleet may spend. */
export interface ReadBudget {
    /**
     * Takes a call that makes `reads` platform reads, one by default. It may start as soon as there is one read; the
     * others are owed, and no further call starts before they are paid.
     */
    readonly tryTake: (reads?: number) => boolean;
    /** Time until the next read, 0 when there is one. */
    readonly timeToNext: () => Milliseconds;
    /** Time in which the budget lets every node of the fleet recover from the platform, one after the other. */
    readonly fleetTurn: () => Milliseconds;
}

/** A reader may read the heads and the deltas of each partner in a row. */
const READER_BURST = 6;
/** An ordinary node reads after a change that was accepted at it while it was behind, or to recover. */
const NON_READER_BURST = 3;
/** Reads of a recovery from the platform: the heads, and a document of each of two partners. */
const READS_PER_RECOVERY = 1 + 2 * READS_PER_DOCUMENT;

/** Creates the budget of one node; its rate follows the node's rank and the size of its zone. */
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
        fleetTurn: () =>
            (countFleetNodes() * READS_PER_RECOVERY / options.recoveryReadsPerSecond) * MILLISECONDS_PER_SECOND,
    };
};
