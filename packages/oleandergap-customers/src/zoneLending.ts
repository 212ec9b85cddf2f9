/** Decides what a zone borrows from other zones for a customer, and what it lends to them. */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { LentParts } from "./lentParts.js";
import type { PoolStore } from "./poolStore.js";
import type { BorrowRequest, TokenRequest, ZoneLoan } from "./quotaMessage.js";
import { computeFairPart, sumDemand } from "./statedDemand.js";
import { PLENTY_FRACTION } from "./tokenShare.js";
import { ZONE_LOAN_MS } from "./zoneLoans.js";

/** Multiple of the present demand that a zone needs, since demand varies. */
const NEED_FACTOR = 1.2;
/** Time for whose requests a zone borrows and keeps tokens, in seconds. */
const STOCK_SECONDS = 0.5;
/** Fraction of its share that a zone does not lend, for requests that arrive unexpectedly. */
const RESERVE_FRACTION = 0.01;
/** Tokens that a zone does not give away. */
const RESERVE_TOKENS = 1;
/** Resolution of the numbers in a message. */
const DIGITS_FACTOR = 1000;

export interface ZoneLendingDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    readonly pools: PoolStore;
    readonly parts: LentParts;
}

export interface ZoneLending {
    /** Returns what the zone lacks for a request; undefined if it has enough. */
    readonly findLack: (request: TokenRequest) => BorrowRequest | undefined;
    /** Lends what the nodes of this zone do not need, of parts that are lent to this node for long enough. */
    readonly lend: (borrower: NodeId, request: BorrowRequest) => ZoneLoan;
    /** Uses what the pool owner of another zone has lent, until `endsAt`. */
    readonly receive: (lender: NodeId, loan: ZoneLoan, endsAt: Milliseconds) => void;
}

/** Shortens a number for a message, to less than what was deducted. */
const roundDown = (value: number): number => Math.floor(value * DIGITS_FACTOR) / DIGITS_FACTOR;

export const createZoneLending = ({ clock, pools, parts }: ZoneLendingDependencies): ZoneLending => ({
    findLack: (request) => {
        const { partner, customer, rate, burst, waiting, ahead } = request;
        const now = clock.monotonic();
        const size = pools.computeSize(request);
        const { bucket, demands } = pools.open(request);
        const available = bucket.fill(size, now) - waiting - ahead;
        const wantedRate = Math.max(sumDemand(demands, now), request.demand) * NEED_FACTOR;
        const own = parts.history.current() - bucket.lentToOthers();
        const fraction = Math.min(1, wantedRate / size.ratePerSecond) - own;
        const capacity = size.capacity * bucket.fraction();
        const tokens = Math.max(0, Math.min(wantedRate * STOCK_SECONDS, capacity) - available);
        const isShort = available < PLENTY_FRACTION * capacity;
        return fraction > 0 && (isShort || bucket.isBorrowing()) ?
            { partner, customer, fraction, tokens, rate, burst } :
            undefined;
    },
    lend: (borrower, request) => {
        const { partner, customer, rate, burst } = request;
        const now = clock.monotonic();
        const size = pools.computeSize(request);
        const { bucket, borrowers, demands } = pools.open(request);
        const own = parts.fractionFor(ZONE_LOAN_MS);
        const demand = sumDemand(demands, now);
        const free = Math.max(0, own - Math.max(RESERVE_FRACTION * own, demand * NEED_FACTOR / size.ratePerSecond));
        const fraction = Math.max(0, Math.min(
            request.fraction,
            free - bucket.lentToOthers(borrower),
            computeFairPart(borrowers, borrower, request.fraction, free, now),
        ));
        const excess = bucket.lend(borrower, { fraction, endsAt: now + ZONE_LOAN_MS }, size, now);
        const unneeded = bucket.fill(size, now) - Math.max(RESERVE_TOKENS, demand * STOCK_SECONDS);
        const given = Math.max(0, Math.min(request.tokens - excess, unneeded));
        bucket.take(given);
        return { partner, customer, rate, burst, fraction: roundDown(fraction), tokens: roundDown(excess + given) };
    },
    receive: (lender, { fraction, tokens, ...stated }, endsAt) => {
        const now = clock.monotonic();
        const pool = pools.find(stated);
        if (pool !== undefined && endsAt > now) {
            pool.bucket.borrow(lender, { fraction, endsAt }, tokens, pools.computeSize(stated), now);
        }
    },
});
