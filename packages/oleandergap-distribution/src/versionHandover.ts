/** Sends a version to one of several candidates, in the smallest message that can carry it. */
import type { Head } from "oleandergap-types";
import { compactDelta, measureCompactDelta, type CompactDelta } from "./compactDelta.js";
import type { Delegator } from "./delegation.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, PeerAddress, SpreadOutlet } from "./ports.js";
import type { ScoreRange } from "./scoreRange.js";
import type { SpreadMessage } from "./spreadMessage.js";

/** Sends a message without any promise that it arrives. */
export type SendSpreadMessage = SpreadOutlet["send"];

/** What handing over works with. */
export interface HandOverDependencies {
    readonly store: Pick<ConfigurationStorePort, "deltaTo">;
    readonly delegator: Pick<Delegator, "delegate">;
    readonly peerHeads: Pick<PeerHeads, "holds">;
    readonly options: Pick<SpreadOptions, "inlineDeltaBytes" | "acknowledgeTimeoutMs">;
    readonly send: SendSpreadMessage;
}

/**
 * Hands a version over to the first of `candidates` that acknowledges it, for it to pass on to `range`, or, without a
 * range, to its own availability zone. `takeOver` is called when the turn comes to this node itself.
 */
export type HandOver = (
    head: Head,
    candidates: readonly PeerAddress[],
    range: ScoreRange | undefined,
    takeOver: () => void,
) => void;

/** A version that must be pulled first is acknowledged later. */
const OFFER_TIMEOUT_FACTOR = 2;

const createMessage = (
    head: Head,
    delta: CompactDelta | undefined,
    range: ScoreRange | undefined,
): SpreadMessage => {
    const ranged = range === undefined ? {} : { range };
    return delta === undefined ? { kind: "Offer", head, ...ranged } : { kind: "Step", delta, ...ranged };
};

/** Creates the function that hands versions over. */
export const createHandOver = (
    { store, delegator, peerHeads, options, send }: HandOverDependencies,
): HandOver => {
    /** The step to `head` if it fits into a datagram. */
    const findInlineDelta = (head: Head): CompactDelta | undefined => {
        const delta = store.deltaTo(head.partner, head.sequence);
        if (delta === undefined || delta.digest !== head.digest) {
            return undefined;
        }
        const compact = compactDelta(delta);
        return measureCompactDelta(compact) <= options.inlineDeltaBytes ? compact : undefined;
    };

    return (head, candidates, range, takeOver) => {
        const delta = findInlineDelta(head);
        delegator.delegate({
            head,
            candidates,
            takeOver,
            timeoutMs: options.acknowledgeTimeoutMs * (delta === undefined ? OFFER_TIMEOUT_FACTOR : 1),
            send: (to) => {
                const isHeldThere = peerHeads.holds(to.id, head);
                send(to, createMessage(head, isHeldThere ? undefined : delta, range));
            },
        });
    };
};
