/** Ids of the attempts of a node, which are unique also among those from before a restart. */

const SEPARATOR = "-";

/** Returns the function that creates the ids of one lifetime of a node. */
export const createAttemptIds = (nodeId: string, bootId: string): (() => string) => {
    let attempts = 0;
    return () => {
        attempts += 1;
        return [nodeId, bootId, attempts].join(SEPARATOR);
    };
};

/** Returns the part of an id that all ids of one lifetime of a node share. */
export const getAttemptSender = (attemptId: string): string => attemptId.slice(0, attemptId.lastIndexOf(SEPARATOR));
