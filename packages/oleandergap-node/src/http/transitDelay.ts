/**
 * Estimates for how long a request between two nodes was held back on its way.
 *
 * A link that loses packets delivers a request long after it was sent, and the end of its connection directly behind it
 * if the sender has given up in the meantime. The clocks of two nodes have different origins. The difference between
 * the time of receipt and the time of sending is therefore compared with the least one of the sender's latest requests.
 */
import type { Milliseconds } from "oleandergap-types";

/** When a request was sent, by the sender's clock, and received, by the local clock. */
export interface TransitTimes {
    /** Identifies the lifetime of the sender, and with it the origin of its clock. */
    readonly sender: string;
    readonly sentAt: Milliseconds;
    readonly receivedAt: Milliseconds;
}

/** Returns whether a request was held back on its way. The first request of a sender never was, as far as is known. */
export type WasHeldBack = (times: TransitTimes) => boolean;

interface SenderDifferences {
    /** Least difference in the previous window; infinite in the first one. */
    previousLeast: Milliseconds;
    currentLeast: Milliseconds;
    windowStartedAt: Milliseconds;
}

/** Delay from which on a request counts as held back. Senders hardly give up earlier. */
const HELD_BACK_MS: Milliseconds = 250;
/**
 * Length of the windows of the least difference. A clock that stood still changes the difference for good, and requests
 * seem to be held back until two windows have passed.
 */
const WINDOW_MS: Milliseconds = 2000;
/** Maximum number of senders that are remembered. The one that was added first is forgotten. */
const MAX_SENDERS = 8192;

const SENT_AT_PATTERN = /^\d{1,15}$/;

/** Formats the time at which a request is sent. */
export const formatSentAt = (now: Milliseconds): string => String(Math.floor(now));

/** Parses the header that states when a request was sent; undefined if it is missing or malformed. */
export const parseSentAt = (headerValue: string | undefined): Milliseconds | undefined =>
    headerValue !== undefined && SENT_AT_PATTERN.test(headerValue) ? Number(headerValue) : undefined;

/** Records a difference, and returns the least one of the present and the previous window. */
const recordDifference = (known: SenderDifferences, difference: Milliseconds, now: Milliseconds): Milliseconds => {
    if (now - known.windowStartedAt >= WINDOW_MS) {
        known.previousLeast = known.currentLeast;
        known.currentLeast = difference;
        known.windowStartedAt = now;
    }
    known.currentLeast = Math.min(known.currentLeast, difference);
    return Math.min(known.previousLeast, known.currentLeast);
};

/** Creates the function, which remembers the senders. */
export const createHeldBackDetector = (): WasHeldBack => {
    const senders = new Map<string, SenderDifferences>();

    const addSender = (sender: string, difference: Milliseconds, now: Milliseconds): void => {
        const [first] = senders.size >= MAX_SENDERS ? senders.keys() : [];
        if (first !== undefined) {
            senders.delete(first);
        }
        senders.set(sender, {
            previousLeast: Number.POSITIVE_INFINITY,
            currentLeast: difference,
            windowStartedAt: now,
        });
    };

    return ({ sender, sentAt, receivedAt }) => {
        const difference = receivedAt - sentAt;
        const known = senders.get(sender);
        if (known === undefined) {
            addSender(sender, difference, receivedAt);
            return false;
        }
        return difference - recordDifference(known, difference, receivedAt) >= HELD_BACK_MS;
    };
};
