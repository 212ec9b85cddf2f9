/**
 * Remembers what targets at other nodes have stated about themselves, to remind their gates.
 *
 * A gate learns a departure or a request limit from the responses of its target, and forgets both when its node
 * restarts. The target would then be used again although callers at this node have already been told that it leaves.
 */
import { isSameLifetime, type LifetimeFeedback, type NodeId } from "oleandergap-types";

/** Maximum number of targets that are remembered. The oldest one is forgotten first. */
const MAX_TARGETS = 1024;

/** Statements of targets by the nodes beside them. */
export interface FeedbackMemory {
    /** Returns what to remind the gate of a node of; undefined if there is nothing. */
    readonly find: (nodeId: NodeId) => LifetimeFeedback | undefined;
    /**
     * Records what the gate of a node reported with a response.
     *
     * @param reported undefined if the gate reported nothing
     * @param isFromTarget whether the response comes from the target, and not from the gate itself
     */
    readonly record: (nodeId: NodeId, reported: LifetimeFeedback | undefined, isFromTarget: boolean) => void;
}

/** Creates an empty memory. */
export const createFeedbackMemory = (): FeedbackMemory => {
    const feedbackByNode = new Map<NodeId, LifetimeFeedback>();

    const store = (nodeId: NodeId, feedback: LifetimeFeedback): void => {
        feedbackByNode.delete(nodeId);
        feedbackByNode.set(nodeId, feedback);
        const [oldest] = feedbackByNode.keys();
        if (feedbackByNode.size > MAX_TARGETS && oldest !== undefined) {
            feedbackByNode.delete(oldest);
        }
    };

    return {
        find: (nodeId) => feedbackByNode.get(nodeId),
        record: (nodeId, reported, isFromTarget) => {
            const known = feedbackByNode.get(nodeId);
            if (reported === undefined) {
                // A departure is final for the lifetime. A gate that has just started reports nothing by itself.
                if (isFromTarget && known?.feedback.isLeaving === false) {
                    feedbackByNode.delete(nodeId);
                }
                return;
            }
            const wasLeaving = known?.feedback.isLeaving === true && isSameLifetime(known, reported);
            const isLeaving = reported.feedback.isLeaving || wasLeaving;
            store(nodeId, { ...reported, feedback: { ...reported.feedback, isLeaving } });
        },
    };
};
