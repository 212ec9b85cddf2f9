/**
 * Sequential tests of a version against the other one, which may be evaluated at any moment.
 *
 * Each test is Wald's sequential probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses", Annals
 * of Mathematical Statistics 16, 1945): the sum of log likelihood ratios of "bad" against "good". Restarted at zero
 * whenever the sum becomes negative, it is Page's cumulative sum test (E. S. Page, "Continuous Inspection Schemes",
 * Biometrika 41, 1954), which also detects a version that becomes bad after many good responses.
 */
import type { KindTally } from "./tally.js";

/** Probability of stopping a good version, for each test of a kind of request. */
export const FALSE_ALARM_RATE = 0.0005;
/** Probability of missing a bad version. */
const MISS_RATE = 0.01;

/** Sum of log likelihood ratios above which a version is bad. */
export const ALARM_THRESHOLD = Math.log((1 - MISS_RATE) / FALSE_ALARM_RATE);
/** Probability that a bad version is promoted. The tests go on during the promotion, so this is not the final word. */
const PROMOTION_MISS_RATE = 0.2;

/** Sum of log likelihood ratios below which a version may be promoted. */
export const PROMOTION_THRESHOLD = Math.log(PROMOTION_MISS_RATE / (1 - FALSE_ALARM_RATE));

/** Increase of the share of failed requests at which a version is bad. */
const BAD_FAILURE_INCREASE = 0.08;
/** The old version's share of failures is uncertain; a good version may have this many times as many. */
const FAILURE_TOLERANCE_FACTOR = 1.5;
/** Share of failures that a good version may have in any case. */
const FAILURE_TOLERANCE = 0.01;
const MAXIMUM_GOOD_FAILURE_SHARE = 0.5;

/** Latency of a good version relative to the old one, at most. */
const GOOD_LATENCY_RATIO = 1.25;
/** Latency of a bad version relative to the old one, at least. */
const BAD_LATENCY_RATIO = 2.5;
/** Lower bound of the variance of log latencies. A few similar latencies would make the test overconfident. */
const MINIMUM_LOG_VARIANCE = 0.3;
/** Minimum number of latencies of the old version for a comparison. */
const MINIMUM_CONTROL_LATENCIES = 10;

/** Returns the share of failures of the old version, estimated with the rule of succession for few requests. */
const estimateFailureShare = ({ requests, failures }: KindTally): number => (failures + 0.5) / (requests + 20);

/** Returns the log likelihood ratio of the failures in `trial`, given the old version's tally in `control`. */
export const compareFailures = (trial: KindTally, control: KindTally): number => {
    const goodShare = Math.min(
        MAXIMUM_GOOD_FAILURE_SHARE,
        estimateFailureShare(control) * FAILURE_TOLERANCE_FACTOR + FAILURE_TOLERANCE,
    );
    const badShare = goodShare + BAD_FAILURE_INCREASE;
    const successes = trial.requests - trial.failures;
    return trial.failures * Math.log(badShare / goodShare) +
        successes * Math.log((1 - badShare) / (1 - goodShare));
};

const computeLogVariance = ({ timed, logSum, logSquareSum }: KindTally): number =>
    timed === 0 ? 0 : logSquareSum / timed - (logSum / timed) ** 2;

/**
 * Returns the log likelihood ratio of the latencies in `trial`, whose logarithms are treated as normally distributed.
 * Returns zero if the old version's latency is not known.
 */
export const compareLatencies = (trial: KindTally, control: KindTally): number => {
    if (control.timed < MINIMUM_CONTROL_LATENCIES) {
        return 0;
    }
    const controlMean = control.logSum / control.timed;
    const goodMean = controlMean + Math.log(GOOD_LATENCY_RATIO);
    const badMean = controlMean + Math.log(BAD_LATENCY_RATIO);
    const variance = Math.max(MINIMUM_LOG_VARIANCE, computeLogVariance(control));
    return ((badMean - goodMean) / variance) * (trial.logSum - trial.timed * (goodMean + badMean) / 2);
};
