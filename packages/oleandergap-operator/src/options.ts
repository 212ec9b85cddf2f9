/** Settings of the operators' interface, a section of the daemon's settings file. All durations are in milliseconds. */
import { z } from "zod";

/** Section `operators` of the daemon's settings. */
export const operatorOptionsSchema = z.strictObject({
    /**
     * Time for which a confirmed credential is accepted for reads without another read from the platform. It bounds the
     * delay until a revocation takes effect.
     */
    credentialFreshMs: z.number().int().min(0).max(60_000).default(5000),
    /** Time for which a previously confirmed credential is accepted for reads while the platform is unavailable. */
    credentialGraceMs: z.number().int().min(0).max(86_400_000).default(3_600_000),
    /** Maximum time to wait for the platform when a credential is checked. */
    credentialTimeoutMs: z.number().int().min(1).max(60_000).default(1000),
    /** Maximum number of checks of unknown credentials at the platform per second and client address. */
    unknownCredentialsPerSecond: z.number().positive().max(1000).default(5),
    /** Maximum number of requests per second that this node accepts from the operators of one partner. */
    requestsPerSecond: z.number().positive().max(10_000).default(20),
    /** Maximum time for handling one request, after which its outcome is reported as unknown or unavailable. */
    requestTimeoutMs: z.number().int().min(1).max(120_000).default(12_000),
    /** Maximum size of a request body, in bytes. */
    maxBodyBytes: z.number().int().min(1024).max(16_777_216).default(262_144),
});
export type OperatorOptions = z.infer<typeof operatorOptionsSchema>;
