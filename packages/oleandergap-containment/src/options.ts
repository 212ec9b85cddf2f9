/** Settings of the containment of requests that crash their targets. */
import { z } from "zod";

const durationSchema = z.number().int().min(1).max(86_400_000);

export const containmentOptionsSchema = z.strictObject({
    /** Crashes of targets beside a request, without a run of it that ended well since, after which it is refused. */
    crashesToContain: z.number().int().min(2).max(100).default(3),
    /** Time for which it is refused; doubled with each further crash. */
    holdMs: durationSchema.default(600_000),
    /** Longest time for which it is refused. */
    holdMaximumMs: durationSchema.default(3_600_000),
    /** After a run that ended well, one crash is no reason for care for this time. */
    trustMs: durationSchema.default(60_000),
    /** Evidence of which nothing has been heard for this time is dropped. */
    forgetMs: durationSchema.default(3_600_000),
    /** Requests of which evidence is kept, about half a kilobyte each; those with the fewest crashes go first. */
    mostSuspects: z.number().int().min(16).max(100_000).default(2000),
});
/** See {@link containmentOptionsSchema}. */
export type ContainmentOptions = z.infer<typeof containmentOptionsSchema>;

/** The settings without any of them given. */
export const defaultContainmentOptions: ContainmentOptions = containmentOptionsSchema.parse({});
