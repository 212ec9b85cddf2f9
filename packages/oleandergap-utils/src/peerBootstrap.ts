/**
 * Bootstraps state that nodes hold in memory and exchange by gossip, at a node that has just started. The node queries
 * its peers. If all nodes have restarted, no peer has the state, but the rows in the platform's table contain what must
 * last. One node of each zone reads the rows and sends them to the others.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "./random.js";

const QUERY_INTERVAL_MS: Milliseconds = 500;
/** Time after which the first member of a zone reads the platform's rows if no peer has informed it. */
const FIRST_MEMBER_READ_DELAY_MS: Milliseconds = 1000;
/**
 * Minimum time after which every other node reads the rows if it is not informed. A random delay of up to the same time
 * is added, to spread the reads.
 */
const OTHER_MEMBERS_READ_DELAY_MS: Milliseconds = 2000;

/** Dependencies of the bootstrap. */
export interface PeerBootstrapDependencies<State> {
    readonly clock: Clock;
    readonly random: Random;
    /** Asks some nodes for their state. */
    readonly queryPeers: () => void;
    /** Returns whether this node is the first of its zone, in an order that all members of the zone share. */
    readonly isFirstInZone: () => boolean;
    /** Reads the stored state; resolves to undefined when it is no longer needed. */
    readonly load: (isNeeded: () => boolean) => Promise<State | undefined>;
    readonly onLoaded: (state: State) => void;
    readonly signal: AbortSignal;
}

/** State of the bootstrap: whether this node has the state of the fleet. */
export interface PeerBootstrap {
    readonly start: () => void;
    readonly isInformed: () => boolean;
    /** Records that this node has received the state of an informed node. */
    readonly markInformed: () => void;
}

/** Creates the bootstrap of a node without state. */
export const createPeerBootstrap = <State>(
    { clock, random, queryPeers, isFirstInZone, load, onLoaded, signal }: PeerBootstrapDependencies<State>,
): PeerBootstrap => {
    let isInformed = false;
    const needsState = (): boolean => !isInformed && !signal.aborted;

    const queryUntilInformed = (): void => {
        if (needsState()) {
            queryPeers();
            clock.after(QUERY_INTERVAL_MS, queryUntilInformed);
        }
    };

    const readStoredState = async (): Promise<void> => {
        const state = needsState() ? await load(needsState) : undefined;
        if (state === undefined || !needsState()) {
            return;
        }
        isInformed = true;
        onLoaded(state);
    };

    return {
        start: () => {
            queryUntilInformed();
            clock.after(FIRST_MEMBER_READ_DELAY_MS, () => {
                if (isFirstInZone()) {
                    void readStoredState();
                }
            });
            clock.after(OTHER_MEMBERS_READ_DELAY_MS * (1 + random()), () => void readStoredState());
        },
        isInformed: () => isInformed,
        markInformed: () => {
            isInformed = true;
        },
    };
};
