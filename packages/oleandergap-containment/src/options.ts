/** Settings of the containment of requests that crash their targets. */
import { z } from "zod";

const durationSchema = z.number().int().min(1).max(86_400_000);

export const containmentOptionsSchema = z.strictObject({
    /** Number of crashes while a request was running, without a good run since, after which the request is refused. */
    crashesToContain: z.number().int().min(2).max(100).default(3),
    /** Time for which a request is refused; doubled with each further crash. */
    holdMs: durationSchema.default(600_000),
    /** Maximum time for which a request is refused. */
    holdMaximumMs: durationSchema.default(3_600_000),
    /** Time after a good run during which a single crash does not make a request a suspect. */
    trustMs: durationSchema.default(60_000),
    /** Evidence is deleted if nothing new was received on the request for this time. */
    forgetMs: durationSchema.default(3_600_000),
    /**
     * Maximum number of requests on which evidence is kept, about half a kilobyte each. Requests with the fewest
     * crashes are deleted first.
     */
    mostSuspects: z.number().int().min(16).max(100_000).default(2000),
});
/** See {@link containmentOptionsSchema}. */
export type ContainmentOptions = z.infer<typeof containmentOptionsSchema>;

/** The default settings. */
export const defaultContainmentOptions: ContainmentOptions = containmentOptionsSchema.parse({});
