/** A naive judge: a threshold on the share of failures of the new version, without a control and without latency. */
import type { CreateJudge, RequestCounts } from "oleandergap-rollout";

const MAXIMUM_FAILURE_SHARE = 0.05;
/** Number of requests from which the share counts. */
const MINIMUM_REQUESTS = 20;

/** Creates the judge. It looks at all reports since the order. */
export const createThresholdJudge: CreateJudge = (version) => {
    let counts: RequestCounts = { trial: 0, control: 0 };
    return {
        observe: (reports) => {
            let failures = 0;
            let trial = 0;
            let control = 0;
            for (const { report } of reports.values()) {
                const requests = report.tallies.reduce((sum, tally) => sum + tally.requests, 0);
                if (report.version !== version) {
                    control += requests;
                    continue;
                }
                trial += requests;
                failures += report.tallies.reduce((sum, tally) => sum + tally.failures, 0);
            }
            counts = { trial, control };
            if (trial < MINIMUM_REQUESTS) {
                return { kind: "Undecided" };
            }
            return failures > MAXIMUM_FAILURE_SHARE * trial ?
                { kind: "Bad", reason: "share of failures" } :
                { kind: "Good" };
        },
        counts: () => counts,
    };
};
