/**
 * Sends a repeatable request to nodes until one of them returns a final response.
 *
 * A frozen node accepts a connection and never responds. Without a countermeasure, every read would first wait for that
 * node's whole timeout. Requests are therefore hedged: after a short delay the client sends the request to the next
 * node as well and uses the first final response.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { FailedAttempt } from "../schemas/operatorError.js";
import { linkSignal } from "oleandergap-utils";
import type { AttemptResult } from "./attempt.js";
import { describeAttempt, isFinal, selectError, type NodesResult } from "./classifyAttempts.js";
import { formatNodeAddress, type NodeAddress } from "./nodeAddress.js";

/** Options of {@link queryNodes}. */
export interface QueryNodesOptions<Data> {
    /** Nodes in the order in which they are queried. */
    readonly nodes: readonly NodeAddress[];
    /** Sends the request to one node. The promise never rejects and settles early when the signal aborts. */
    readonly attempt: (node: NodeAddress, signal: AbortSignal) => Promise<AttemptResult<Data>>;
    /** Time without a response from a node after which the request is also sent to the next node. */
    readonly hedgeDelayMs: Milliseconds;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Queries the nodes with hedging. The promise never rejects. Attempts that are no longer needed are aborted. */
export const queryNodes = <Data>(options: QueryNodesOptions<Data>): Promise<NodesResult<Data>> => {
    const { nodes, attempt, hedgeDelayMs, clock, signal } = options;
    const remainingNodes = [...nodes];
    const results: AttemptResult<Data>[] = [];
    const failedAttempts: FailedAttempt[] = [];
    const attemptsAbort = linkSignal(signal);
    let isSettled = false;
    let pendingCount = 0;
    let cancelHedgeTimer: () => void = () => undefined;

    return new Promise((resolve) => {
        const finish = (result: NodesResult<Data>): void => {
            cancelHedgeTimer();
            isSettled = true;
            attemptsAbort.release();
            attemptsAbort.abort();
            resolve(result);
        };

        const handleResult = (node: NodeAddress, result: AttemptResult<Data>): void => {
            pendingCount -= 1;
            if (isSettled) {
                return;
            }
            if (result.kind === "Answered" && isFinal(result)) {
                finish({ answer: result.answer, node });
                return;
            }
            results.push(result);
            failedAttempts.push({ node: formatNodeAddress(node), detail: describeAttempt(result) });
            queryNextNode();
        };

        const queryNextNode = (): void => {
            cancelHedgeTimer();
            const node = signal.aborted ? undefined : remainingNodes.shift();
            if (node !== undefined) {
                pendingCount += 1;
                cancelHedgeTimer = clock.after(hedgeDelayMs, queryNextNode);
                void attempt(node, attemptsAbort.signal).then((result) => handleResult(node, result));
            }
            else if (pendingCount === 0) {
                finish({ answer: either.left(selectError(results, failedAttempts)) });
            }
        };

        queryNextNode();
    });
};
