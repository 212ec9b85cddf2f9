/** Starts the CPU profile if the settings enable it. */
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { NodeOptions } from "../options.js";

export interface OpenProfileDependencies {
    readonly options: Pick<NodeOptions, "diagnostics">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Starts the profile. Does nothing and loads no module if the settings contain no period. */
export const openProcessorProfile = ({ options, clock, logger, signal }: OpenProfileDependencies): void => {
    const periodMs = options.diagnostics.processorProfileMs;
    if (periodMs === undefined) {
        return;
    }
    const startProfile = async (): Promise<void> => {
        const [{ createSampler }, { readProcessUsage, startProcessorProfile }] = await Promise.all([
            import("./sampler.js"),
            import("./processorProfile.js"),
        ]);
        const sampler = createSampler();
        startProcessorProfile({ clock, logger, sampler, readUsage: readProcessUsage, periodMs }, signal);
    };
    startProfile().catch((error: unknown) => {
        logger.warn("The CPU profile could not be started.", { detail: String(error) });
    });
};
