/** Measures how many reads per second the platform stand-in receives. */
import type { Fleet } from "oleandergap-demo";
import type { Clock, Milliseconds } from "oleandergap-types";

/** Samples the counters of the platform stand-in until it is stopped. */
export interface ReadMonitor {
    /** Stops sampling and returns the summary. */
    readonly stop: () => Promise<ReadSummary>;
}

/** Reads from the platform while a monitor ran, including refused calls. */
export interface ReadSummary {
    /** Highest number of reads per second. */
    readonly peakPerSecond: number;
    readonly total: number;
}

const SAMPLE_PERIOD_MS = 250;
const WINDOW_MS = 1000;

interface Sample {
    readonly at: Milliseconds;
    readonly reads: number;
}

const findPeakRate = (samples: readonly Sample[]): number => {
    let peak = 0;
    for (const [index, sample] of samples.entries()) {
        const windowStart = samples.slice(0, index).findLast(({ at }) => sample.at - at >= WINDOW_MS);
        if (windowStart !== undefined) {
            peak = Math.max(peak, ((sample.reads - windowStart.reads) / (sample.at - windowStart.at)) * WINDOW_MS);
        }
    }
    return peak;
};

/**
 * Returns the number of reads since the start. Refused calls are included, because they put load on the platform too.
 */
const countPlatformReads = async (fleet: Fleet): Promise<number> => {
    const counters = await fleet.platform.counters();
    return counters.reads + counters.refused + counters.overLimit;
};

/** Starts a monitor. Each sample makes one request for the counters of the stand-in. */
export const monitorPlatformReads = (fleet: Fleet, clock: Clock): ReadMonitor => {
    const abortController = new AbortController();
    const samples: Sample[] = [];
    const collectSamples = async (): Promise<void> => {
        while (!abortController.signal.aborted) {
            samples.push({ at: clock.monotonic(), reads: await countPlatformReads(fleet) });
            await clock.sleep(SAMPLE_PERIOD_MS, abortController.signal);
        }
    };
    const sampling = collectSamples();
    return {
        stop: async () => {
            abortController.abort();
            await sampling;
            const total = (samples.at(-1)?.reads ?? 0) - (samples[0]?.reads ?? 0);
            return { peakPerSecond: findPeakRate(samples), total };
        },
    };
};
