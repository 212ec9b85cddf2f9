/**
 * How a node that has just started learns what the others hold. It asks them; when all have started anew, nobody can be
 * asked, and the platform's rows tell what was contained. Of each zone one node reads, and tells the others.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { Evidence } from "./evidence.js";

const QUESTION_DISTANCE_MS: Milliseconds = 500;
/** Time after which the first member of a zone reads the platform's rows if nobody could inform it. */
const FIRST_READ_MS: Milliseconds = 1000;
/** Time after which every other node does, at the earliest; they are spread over as much time again. */
const FURTHER_READ_MS: Milliseconds = 2000;

/** What an informer works with. */
export interface InformerDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    /** Asks some nodes to compare. */
    readonly ask: () => void;
    /** Whether this node is the first of its zone in an order that all its members share. */
    readonly isFirst: () => boolean;
    /** Reads what was contained; undefined when nobody wants to know any more. */
    readonly load: (isWanted: () => boolean) => Promise<Evidence | undefined>;
    readonly take: (evidence: Evidence) => void;
    readonly signal: AbortSignal;
}

/** Knows whether this node holds what the fleet does. */
export interface Informer {
    readonly start: () => void;
    readonly isInformed: () => boolean;
    /** A node that is informed has compared with this one. */
    readonly noteInformed: () => void;
}

/** Creates the informer of a node that knows nothing yet. */
export const createInformer = (
    { clock, random, logger, ask, isFirst, load, take, signal }: InformerDependencies,
): Informer => {
    let isInformed = false;
    const isUninformed = (): boolean => !isInformed && !signal.aborted;

    const askRepeatedly = (): void => {
        if (isUninformed()) {
            ask();
            clock.after(QUESTION_DISTANCE_MS, askRepeatedly);
        }
    };

    const read = async (): Promise<void> => {
        const evidence = isUninformed() ? await load(isUninformed) : undefined;
        if (evidence === undefined || !isUninformed()) {
            return;
        }
        isInformed = true;
        logger.info("Contained requests were read.", { crashes: evidence.crashes.length });
        take(evidence);
    };

    return {
        start: () => {
            askRepeatedly();
            clock.after(FIRST_READ_MS, () => {
                if (isFirst()) {
                    void read();
                }
            });
            clock.after(FURTHER_READ_MS * (1 + random()), () => void read());
        },
        isInformed: () => isInformed,
        noteInformed: () => {
            isInformed = true;
        },
    };
};
