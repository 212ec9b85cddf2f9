/** Switches the profile of the processor's time on where the settings ask for it. */
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { NodeOptions } from "../options.js";

export interface OpenProfileDependencies {
    readonly options: Pick<NodeOptions, "diagnostics">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Does nothing, and loads nothing, unless the settings name a period. */
export const openProcessorProfile = ({ options, clock, logger, signal }: OpenProfileDependencies): void => {
    const periodMs = options.diagnostics.processorProfileMs;
    if (periodMs === undefined) {
        return;
    }
    const open = async (): Promise<void> => {
        const [{ createSampler }, { readProcessUsage, startProcessorProfile }] = await Promise.all([
            import("./sampler.js"),
            import("./processorProfile.js"),
        ]);
        const sampler = createSampler();
        startProcessorProfile({ clock, logger, sampler, readUsage: readProcessUsage, periodMs }, signal);
    };
    open().catch((error: unknown) => {
        logger.warn("The processor's time cannot be sampled.", { detail: String(error) });
    });
};
