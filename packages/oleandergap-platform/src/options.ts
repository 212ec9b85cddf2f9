/** Settings of the adapters to the platform. */
import { addressSchema, portSchema } from "oleandergap-types";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_LONGEST_MS = 15_000;
const MIN_TIMEOUT_MS = 10;
const MAX_TIMEOUT_MS = 60_000;
const DEFAULT_CONNECTIONS = 4;
const MAX_CONNECTIONS = 64;
const MEBIBYTE = 1024 * 1024;

/** One address of the platform, as it stands in the daemon's settings. */
export const platformOptionsSchema = z.strictObject({
    address: addressSchema,
    port: portSchema,
    /** Longest silence of one call: until its answer begins, and between two parts of it, in milliseconds. */
    timeoutMs: z.number().int().min(MIN_TIMEOUT_MS).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
    /** Longest time for one call in all, in milliseconds; 1 MB over a link of 1 Mbit/s takes 8 s. */
    longestMs: z.number().int().min(MIN_TIMEOUT_MS).max(MAX_TIMEOUT_MS).default(DEFAULT_LONGEST_MS),
    /** Connections that are open at once; further calls wait, within their time. */
    connections: z.number().int().min(1).max(MAX_CONNECTIONS).default(DEFAULT_CONNECTIONS),
    /** A longer answer is dropped unread, in bytes. */
    maximumAnswerBytes: z.number().int().min(1024).max(64 * MEBIBYTE).default(8 * MEBIBYTE),
});
export type PlatformOptions = z.infer<typeof platformOptionsSchema>;
