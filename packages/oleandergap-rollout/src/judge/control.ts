/** The outcomes of the old version, which those of the new version are compared with. Earlier outcomes fade. */
import type { Milliseconds } from "oleandergap-types";
import { addTallies, createKindTally, type KindTally } from "./tally.js";

/** Outcomes of the old version for one kind of request. */
export interface Control {
    readonly add: (tally: KindTally) => void;
    /** Lets the outcomes fade by the time since the last call. */
    readonly fade: (elapsed: Milliseconds) => void;
    /**
     * Returns the outcomes over a shorter and a longer time. The comparison uses the one that is more favourable to the
     * new version: the shorter one shows a disturbance of both versions at once, the longer one is more exact.
     */
    readonly tallies: () => readonly KindTally[];
}

/** How fast outcomes fade. */
interface FadingPeriod {
    /** Time after which outcomes count half. */
    readonly halfLifeMs: Milliseconds;
    /** Number of requests down to which outcomes fade. */
    readonly minimumRequests: number;
}

/** A shorter period with fewer requests is too small to show a disturbance. */
const MINIMUM_COMPARED_REQUESTS = 10;

const PERIODS: readonly FadingPeriod[] = [
    { halfLifeMs: 120, minimumRequests: 0 },
    // These outcomes remain available when the new version gets all requests.
    { halfLifeMs: 3000, minimumRequests: 50 },
];

const scaleTally = ({ kind, ...counts }: KindTally, factor: number): KindTally => ({
    kind,
    requests: counts.requests * factor,
    failures: counts.failures * factor,
    timed: counts.timed * factor,
    logSum: counts.logSum * factor,
    logSquareSum: counts.logSquareSum * factor,
});

/** Creates a control without outcomes. */
export const createControl = (kind: string): Control => {
    let fading = PERIODS.map((period) => ({ period, tally: createKindTally(kind) }));
    return {
        add: (added) => {
            fading = fading.map(({ period, tally }) => ({ period, tally: addTallies(tally, added) }));
        },
        fade: (elapsed) => {
            fading = fading.map(({ period, tally }) => {
                const kept = Math.min(1, period.minimumRequests / Math.max(1, tally.requests));
                const factor = Math.max(kept, 2 ** (-elapsed / period.halfLifeMs));
                return { period, tally: scaleTally(tally, factor) };
            });
        },
        tallies: () => fading
            .filter(({ period, tally }) => period.minimumRequests > 0 || tally.requests >= MINIMUM_COMPARED_REQUESTS)
            .map(({ tally }) => tally),
    };
};
