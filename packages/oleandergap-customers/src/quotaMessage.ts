/** The messages with which nodes share quotas. Each is small enough for one datagram. */
import {
    addressSchema,
    customerReferenceSchema,
    MAX_QUOTA,
    nodeIdSchema,
    portSchema,
    zoneNameSchema,
    type Milliseconds,
} from "oleandergap-types";
import { z } from "zod";

/** Maximum number of customers in one message, which bounds the size of its datagram. */
export const MAX_ENTRIES = 12;
/** Maximum number of tokens that are requested at once. */
export const MAX_TOKENS = 1_000_000;
/** Upper bounds that only malformed messages exceed. */
const MAX_MEMBERS = 100_000;
const MAX_HOLD_MS: Milliseconds = 60_000;
/** Tokens of any quota above one request per hour have accrued completely after this time. */
export const MAX_IDLE_MS: Milliseconds = 3_600_000;

/** Time of the pool owner's monotonic clock, valid for one lifetime of its process. */
const stampSchema = z.strictObject({ boot: z.string().max(64), at: z.number() });
export type Stamp = z.infer<typeof stampSchema>;

const tokenCountSchema = z.number().int().min(0).max(MAX_TOKENS);

const tokenRequestSchema = customerReferenceSchema.extend({
    /** Requests that wait for a token. */
    waiting: tokenCountSchema,
    /** Tokens for requests that are expected soon. */
    ahead: tokenCountSchema,
    /** Requests per second that arrive at the sender, including refused ones. */
    demand: z.number().min(0).max(MAX_QUOTA),
    /** Quota in the sender's table, for an owner whose table does not contain the customer yet. */
    rate: z.number().min(0).max(MAX_QUOTA),
    burst: z.number().min(0).max(MAX_QUOTA),
});
export type TokenRequest = z.infer<typeof tokenRequestSchema>;

const tokenGrantSchema = customerReferenceSchema.extend({
    tokens: tokenCountSchema,
    /** Time for which the sender does not ask again; 0 if all waiting requests received tokens. */
    holdMs: z.number().int().min(0).max(MAX_HOLD_MS),
});
export type TokenGrant = z.infer<typeof tokenGrantSchema>;

/** What a zone lacks of a customer's quota. */
const borrowRequestSchema = customerReferenceSchema.extend({
    /** Fraction of the quota that would be enough. */
    fraction: z.number().min(0).max(1),
    /** Tokens that the zone can use soon. */
    tokens: z.number().min(0).max(MAX_QUOTA),
    /** Quota in the sender's table. */
    rate: z.number().min(0).max(MAX_QUOTA),
    burst: z.number().min(0).max(MAX_QUOTA),
});
export type BorrowRequest = z.infer<typeof borrowRequestSchema>;

const zoneLoanSchema = customerReferenceSchema.extend({
    fraction: z.number().min(0).max(1),
    /** Tokens that the lender gives away with the loan. */
    tokens: z.number().min(0).max(MAX_QUOTA),
    /** Quota in the borrower's table. */
    rate: z.number().min(0).max(MAX_QUOTA),
    burst: z.number().min(0).max(MAX_QUOTA),
});
export type ZoneLoan = z.infer<typeof zoneLoanSchema>;

const memberCountSchema = z.number().int().min(1).max(MAX_MEMBERS);

export const quotaMessageSchema = z.discriminatedUnion("kind", [
    /** Asks the owner of a pool for tokens, and lends the sender's parts of all quotas to it. */
    z.strictObject({
        kind: z.literal("Ask"),
        id: z.number().int().nonnegative(),
        /** Latest stamp that the sender received from the owner. */
        stamp: stampSchema.optional(),
        /** Whether the sender lends its parts. The loan counts from the stamp. */
        lends: z.boolean(),
        /** Time for which nobody has used the sender's parts before a new loan. */
        idleMs: z.number().min(0).max(MAX_IDLE_MS),
        /** Largest number of members that the sender has counted lately; see `ZoneSize`. */
        members: memberCountSchema,
        requests: z.array(tokenRequestSchema).max(MAX_ENTRIES),
    }),
    z.strictObject({
        kind: z.literal("Grant"),
        id: z.number().int().nonnegative(),
        stamp: stampSchema,
        members: memberCountSchema,
        /** Whether the owner's count of members is settled, so that it can grant tokens. */
        isReady: z.boolean(),
        grants: z.array(tokenGrantSchema).max(MAX_ENTRIES),
    }),
    /** Requests the loan of a member that has not asked for tokens recently. */
    z.strictObject({ kind: z.literal("Poll"), stamp: stampSchema, members: memberCountSchema }),
    /** Asks the pool owner of another zone for a part of its zone's share. Any node of the zone forwards it. */
    z.strictObject({
        kind: z.literal("Borrow"),
        id: z.number().int().nonnegative(),
        borrower: z.strictObject({
            id: nodeIdSchema, zone: zoneNameSchema, address: addressSchema, controlPort: portSchema,
        }),
        isForwarded: z.boolean(),
        requests: z.array(borrowRequestSchema).max(MAX_ENTRIES),
    }),
    /** Answers a `Borrow`. The loans count from the sending of the `Borrow`. */
    z.strictObject({
        kind: z.literal("Lend"),
        id: z.number().int().nonnegative(),
        loans: z.array(zoneLoanSchema).max(MAX_ENTRIES),
    }),
]);
/** See {@link quotaMessageSchema}. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
export type Ask = Extract<QuotaMessage, { readonly kind: "Ask" }>;
export type Borrow = Extract<QuotaMessage, { readonly kind: "Borrow" }>;
export type Lend = Extract<QuotaMessage, { readonly kind: "Lend" }>;
export type Grant = Extract<QuotaMessage, { readonly kind: "Grant" }>;
