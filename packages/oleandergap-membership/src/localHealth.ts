/**
 * Tracks the health of this node itself, following the Lifeguard extensions of SWIM.
 *
 * A node without enough CPU time does not process replies in time and would suspect healthy members. Such
 * suspicions all originate from one node and are all refuted. The node's own score therefore extends its periods and
 * timeouts, so that it detects failures more slowly until it recovers.
 */
export interface LocalHealth {
    /** Adds `change`, which may be negative, to the score. */
    readonly adjust: (change: number) => void;
    readonly score: () => number;
    /** Returns the factor for periods and timeouts; 1 if the node is healthy. */
    readonly multiplier: () => number;
}

/** Creates a health score that is limited to the range from 0 to `maxScore`. */
export const createLocalHealth = (maxScore: number): LocalHealth => {
    let score = 0;
    return {
        adjust: (change) => {
            score = Math.min(maxScore, Math.max(0, score + change));
        },
        score: () => score,
        multiplier: () => 1 + score,
    };
};
