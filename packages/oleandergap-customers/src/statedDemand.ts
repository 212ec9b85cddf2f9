/** What other nodes state that they need, which counts for a short time. */
import { MILLISECONDS_PER_SECOND, type Milliseconds, type NodeId } from "oleandergap-types";
import { ZONE_LOAN_MS } from "./zoneLoans.js";

/** Bounds of the time for which the demand that a node stated counts. */
const MIN_DEMAND_MEMORY_MS: Milliseconds = 250;
const MAX_DEMAND_MEMORY_MS: Milliseconds = 1000;
/** Number of requests that a node normally asks for again within; after that, its demand has ended. */
const DEMAND_MEMORY_REQUESTS = 3;

/** A number that a node stated at a time. */
interface Statement {
    readonly value: number;
    readonly at: Milliseconds;
}

/** Latest statement of each node. */
export type Statements = Map<NodeId, Statement>;

const isDemandOutdated = ({ value, at }: Statement, now: Milliseconds): boolean => {
    const memoryMs = DEMAND_MEMORY_REQUESTS * MILLISECONDS_PER_SECOND / Math.max(value, 1);
    return now - at > Math.min(MAX_DEMAND_MEMORY_MS, Math.max(MIN_DEMAND_MEMORY_MS, memoryMs));
};

/** Returns the requests per second that arrive at all nodes together, and removes outdated statements. */
export const sumDemand = (demands: Statements, now: Milliseconds): number => {
    let sum = 0;
    for (const [id, stated] of demands) {
        if (isDemandOutdated(stated, now)) {
            demands.delete(id);
        }
        else {
            sum += stated.value;
        }
    }
    return sum;
};

/**
 * Returns what a borrower that asks for `asked` may have of `free`: an equal part, or more as far as the other
 * borrowers ask for less.
 */
export const computeFairPart = (
    borrowers: Statements,
    borrower: NodeId,
    asked: number,
    free: number,
    now: Milliseconds,
): number => {
    borrowers.set(borrower, { value: asked, at: now });
    let others = 0;
    for (const [id, { value, at }] of borrowers) {
        if (now - at > ZONE_LOAN_MS) {
            borrowers.delete(id);
        }
        else if (id !== borrower) {
            others += value;
        }
    }
    return Math.max(free / borrowers.size, free - others);
};
