/**
 * Token bucket of one customer at a pool owner. Its fraction of the quota is what the nodes of the zone lend, plus what
 * other zones lend, less what is lent to other zones.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import type { BucketLevel, BucketSize, PartHistory } from "./partHistory.js";

/** Fraction of a quota that is lent until its end. */
interface FractionLoan {
    readonly fraction: number;
    readonly endsAt: Milliseconds;
}

/** Loans by the pool owner of the other zone. Of several with one owner, both sides count the largest. */
type FractionLoans = Map<NodeId, readonly FractionLoan[]>;

export interface PoolBucket {
    /** Returns the tokens at `now`. */
    readonly fill: (size: BucketSize, now: Milliseconds) => number;
    /** Removes tokens. */
    readonly take: (tokens: number) => void;
    /** Returns the present fraction of the quota. */
    readonly fraction: () => number;
    readonly isBorrowing: () => boolean;
    /** Returns the fraction that is lent to other zones. A loan to `borrower` is left out, if one is named. */
    readonly lentToOthers: (borrower?: NodeId) => number;
    /** Lends a fraction to the owner of another zone, and returns the tokens that the rest has no room for. */
    readonly lend: (borrower: NodeId, loan: FractionLoan, size: BucketSize, now: Milliseconds) => number;
    /** Uses a loan of another zone and the tokens that come with it. */
    readonly borrow: (lender: NodeId, loan: FractionLoan, tokens: number, size: BucketSize, now: Milliseconds) => void;
}

const sumLoans = (loans: FractionLoans, isCounted: (node: NodeId) => boolean = () => true): number => {
    let sum = 0;
    for (const [node, known] of loans) {
        if (isCounted(node)) {
            sum += Math.max(...known.map(({ fraction }) => fraction));
        }
    }
    return sum;
};

/** Adds a loan. Earlier ones that it covers are dropped. */
const addLoan = (loans: FractionLoans, node: NodeId, loan: FractionLoan): void => {
    const others = (loans.get(node) ?? [])
        .filter(({ fraction, endsAt }) => fraction > loan.fraction || endsAt > loan.endsAt);
    loans.set(node, [...others, loan]);
};

const removeEnded = (loans: FractionLoans, now: Milliseconds): void => {
    for (const [node, known] of loans) {
        const remaining = known.filter(({ endsAt }) => endsAt > now);
        if (remaining.length === 0) {
            loans.delete(node);
        }
        else {
            loans.set(node, remaining);
        }
    }
};

const listEnds = (loans: FractionLoans): readonly Milliseconds[] =>
    [...loans.values()].flatMap((known) => known.map(({ endsAt }) => endsAt));

export const createPoolBucket = (history: PartHistory): PoolBucket => {
    const lent: FractionLoans = new Map();
    const borrowed: FractionLoans = new Map();
    let level: BucketLevel | undefined;

    const sumChanges = (): number => sumLoans(borrowed) - sumLoans(lent);

    const fill = (size: BucketSize, now: Milliseconds): number => {
        const ends = [...listEnds(lent), ...listEnds(borrowed)].filter((endsAt) => endsAt <= now);
        for (const end of ends.sort((left, right) => left - right)) {
            level = history.fill(level, size, Math.max(end, level?.at ?? end), sumChanges());
            removeEnded(lent, end);
            removeEnded(borrowed, end);
        }
        level = history.fill(level, size, now, sumChanges());
        return level.tokens;
    };

    const addTokens = (tokens: number): void => {
        if (level !== undefined) {
            level = { ...level, tokens: level.tokens + tokens };
        }
    };

    return {
        fill,
        take: (tokens) => addTokens(-tokens),
        fraction: () => Math.max(0, history.current() + sumChanges()),
        isBorrowing: () => borrowed.size > 0,
        lentToOthers: (borrower) => sumLoans(lent, (node) => node !== borrower),
        lend: (borrower, loan, size, now) => {
            const before = fill(size, now);
            addLoan(lent, borrower, loan);
            return Math.max(0, before - fill(size, now));
        },
        borrow: (lender, loan, tokens, size, now) => {
            fill(size, now);
            addLoan(borrowed, lender, loan);
            addTokens(tokens);
            fill(size, now);
        },
    };
};
