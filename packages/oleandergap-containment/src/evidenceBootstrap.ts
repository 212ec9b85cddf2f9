/**
 * Bootstraps the evidence of a node that has just started. The node queries its peers. If all nodes have restarted, no
 * peer has evidence, and the rows in the platform's table contain the requests that were contained. One node of each
 * zone reads the rows and sends them to the others.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { Evidence } from "./evidence.js";

const QUERY_INTERVAL_MS: Milliseconds = 500;
/** Time after which the first member of a zone reads the platform's rows if no peer has informed it. */
const FIRST_MEMBER_READ_DELAY_MS: Milliseconds = 1000;
/**
 * Minimum time after which every other node reads the rows if it is not informed. A random delay of up to the same time
 * is added, to spread the reads.
 */
const OTHER_MEMBERS_READ_DELAY_MS: Milliseconds = 2000;

/** Dependencies of the bootstrap. */
export interface EvidenceBootstrapDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    /** Sends the digest to some nodes for comparison. */
    readonly queryPeers: () => void;
    /** Returns whether this node is the first of its zone, in an order that all members of the zone share. */
    readonly isFirstInZone: () => boolean;
    /** Reads the requests that were contained; resolves to undefined when they are no longer needed. */
    readonly load: (isNeeded: () => boolean) => Promise<Evidence | undefined>;
    readonly onLoaded: (evidence: Evidence) => void;
    readonly signal: AbortSignal;
}

/** State of the bootstrap: whether this node has the evidence of the fleet. */
export interface EvidenceBootstrap {
    readonly start: () => void;
    readonly isInformed: () => boolean;
    /** Records that this node has compared its evidence with an informed node. */
    readonly markInformed: () => void;
}

/** Creates the bootstrap of a node without evidence. */
export const createEvidenceBootstrap = (
    { clock, random, logger, queryPeers, isFirstInZone, load, onLoaded, signal }: EvidenceBootstrapDependencies,
): EvidenceBootstrap => {
    let isInformed = false;
    const needsEvidence = (): boolean => !isInformed && !signal.aborted;

    const queryUntilInformed = (): void => {
        if (needsEvidence()) {
            queryPeers();
            clock.after(QUERY_INTERVAL_MS, queryUntilInformed);
        }
    };

    const readStoredEvidence = async (): Promise<void> => {
        const evidence = needsEvidence() ? await load(needsEvidence) : undefined;
        if (evidence === undefined || !needsEvidence()) {
            return;
        }
        isInformed = true;
        logger.info("Contained requests were read.", { crashes: evidence.crashes.length });
        onLoaded(evidence);
    };

    return {
        start: () => {
            queryUntilInformed();
            clock.after(FIRST_MEMBER_READ_DELAY_MS, () => {
                if (isFirstInZone()) {
                    void readStoredEvidence();
                }
            });
            clock.after(OTHER_MEMBERS_READ_DELAY_MS * (1 + random()), () => void readStoredEvidence());
        },
        isInformed: () => isInformed,
        markInformed: () => {
            isInformed = true;
        },
    };
};
