/** Settings of the platform adapters. */
import { addressSchema, portSchema } from "oleandergap-types";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_LONGEST_MS = 15_000;
const MIN_TIMEOUT_MS = 10;
const MAX_TIMEOUT_MS = 60_000;
const DEFAULT_CONNECTIONS = 4;
const MAX_CONNECTIONS = 64;
const MEBIBYTE = 1024 * 1024;

/** One endpoint of the platform in the daemon's settings. */
export const platformOptionsSchema = z.strictObject({
    address: addressSchema,
    port: portSchema,
    /**
     * Maximum time without received data during one call, in milliseconds: before the response begins, and between two
     * parts of it.
     */
    timeoutMs: z.number().int().min(MIN_TIMEOUT_MS).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
    /** Maximum total duration of one call, in milliseconds; 1 MB over a link of 1 Mbit/s takes 8 s. */
    longestMs: z.number().int().min(MIN_TIMEOUT_MS).max(MAX_TIMEOUT_MS).default(DEFAULT_LONGEST_MS),
    /** Maximum number of open connections. Further calls wait for a free one, and the wait counts as call time. */
    connections: z.number().int().min(1).max(MAX_CONNECTIONS).default(DEFAULT_CONNECTIONS),
    /** Maximum size of a response body, in bytes. A larger response is discarded. */
    maximumAnswerBytes: z.number().int().min(1024).max(64 * MEBIBYTE).default(8 * MEBIBYTE),
});
export type PlatformOptions = z.infer<typeof platformOptionsSchema>;
