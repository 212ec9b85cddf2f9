/** Format of the row that stores the claim of one idempotency key in the platform's table. */
import { z } from "zod";
import { nodeIdSchema } from "oleandergap-types";

/** A target's response as stored in the row. `bodyBase64` is absent if the body was too large or not buffered. */
export const storedResponseSchema = z.strictObject({
    status: z.number().int().min(100).max(599),
    headers: z.array(z.tuple([z.string(), z.string()])),
    bodyBase64: z.string().optional(),
});
export type StoredResponse = z.infer<typeof storedResponseSchema>;

const claimBaseSchema = z.strictObject({
    /** Unique id of one claim attempt; a process that reads the row back recognizes its own claim by this id. */
    attemptId: z.string(),
    nodeId: nodeIdSchema,
    bootId: z.string(),
    /** Distinguishes a repeat of the request from another request with the same key. */
    fingerprint: z.string(),
    /** Wall-clock time of the claim, in milliseconds since the Unix epoch; only the sweeper reads it. */
    claimedAt: z.number(),
});

/**
 * The state of a claim:
 * - `claimed`: the holder may run the request or may have run it. Only the holder changes the row from this state.
 * - `finished`: the request ran and the target returned a response.
 * - `released`: the request certainly did not run; the key may be claimed again.
 */
export const claimRowSchema = z.discriminatedUnion("state", [
    claimBaseSchema.extend({ state: z.literal("claimed") }),
    claimBaseSchema.extend({ state: z.literal("finished"), answer: storedResponseSchema }),
    claimBaseSchema.extend({ state: z.literal("released") }),
]);
export type ClaimRow = z.infer<typeof claimRowSchema>;
export type ClaimedRow = Extract<ClaimRow, { state: "claimed" }>;
/** A row in one of the states that the holder writes after the claim. */
export type SettledRow = Exclude<ClaimRow, ClaimedRow>;
