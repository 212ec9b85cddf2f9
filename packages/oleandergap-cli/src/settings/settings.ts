/** Settings of the command line, read from a YAML file. */
import { addressSchema, portSchema } from "oleandergap-types";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 15_000;

/** Schema of the settings file. Unknown keys are rejected. */
export const commandLineSettingsSchema = z.strictObject({
    /**
     * Nodes in the order in which requests are sent to them until one responds. Any node can be used; nodes of
     * different availability zones are recommended.
     */
    nodes: z.array(z.strictObject({ address: addressSchema, port: portSchema })).min(1).max(32),
    /** File with the credential. A relative path is resolved against the folder of the settings file. */
    credentialFile: z.string().min(1),
    /** Maximum time to wait for the response of one node, in milliseconds. */
    timeoutMs: z.number().int().min(100).max(120_000).default(DEFAULT_TIMEOUT_MS),
});
export type CommandLineSettings = z.infer<typeof commandLineSettingsSchema>;

/** Maximum time to wait for one node when no settings file sets it, in milliseconds. */
export const defaultTimeoutMs = DEFAULT_TIMEOUT_MS;
