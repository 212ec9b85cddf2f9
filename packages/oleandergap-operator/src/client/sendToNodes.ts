/**
 * Sends a change to nodes in order, one at a time, until one returns a final response.
 *
 * A change whose response was lost may have been accepted. If it were reported as failed, the operator would send it
 * again under a new change id and overwrite changes that others made in the meantime. Once the outcome of one attempt
 * is uncertain, the result is therefore either a response that a node gives for this change id or an unknown outcome.
 */
import * as either from "fp-ts/lib/Either.js";
import type { FailedAttempt, OperatorError } from "../schemas/operatorError.js";
import type { AttemptResult } from "./attempt.js";
import {
    describeAttempt, isDefinitive, isFinal, isUncertain, selectError, type NodesResult,
} from "./classifyAttempts.js";
import { formatNodeAddress, type NodeAddress } from "./nodeAddress.js";

/** Options of {@link sendToNodes}. */
export interface SendToNodesOptions<Data> {
    /** Nodes in the order in which the change is sent to them. */
    readonly nodes: readonly NodeAddress[];
    /** Sends the change to one node. The promise never rejects. */
    readonly attempt: (node: NodeAddress) => Promise<AttemptResult<Data>>;
    /** Id of the change. A change id is accepted at most once, so that repeating the request is safe. */
    readonly changeId: string;
    readonly signal: AbortSignal;
}

const createUnknownOutcome = (changeId: string, failedAttempts: readonly FailedAttempt[]): OperatorError => ({
    kind: "OutcomeUnknown",
    changeId,
    detail: failedAttempts.map(({ node, detail }) => `${node}: ${detail}`).join("; "),
});

/** Sends the change to the nodes. The promise never rejects. */
export const sendToNodes = async <Data>(options: SendToNodesOptions<Data>): Promise<NodesResult<Data>> => {
    const { nodes, attempt, changeId, signal } = options;
    const results: AttemptResult<Data>[] = [];
    const failed: FailedAttempt[] = [];
    for (const node of nodes) {
        if (signal.aborted) {
            break;
        }
        const result = await attempt(node);
        const mayBeAccepted = results.some(isUncertain);
        if (result.kind === "Answered" && isFinal(result)) {
            if (isDefinitive(result) || !mayBeAccepted) {
                return { answer: result.answer, node };
            }
        }
        results.push(result);
        failed.push({ node: formatNodeAddress(node), detail: describeAttempt(result) });
    }
    const error = results.some(isUncertain) ?
        createUnknownOutcome(changeId, failed) :
        selectError(results, failed);
    return { answer: either.left(error) };
};
