/** Classifies attempts at several nodes and combines them into one result. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { FailedAttempt, OperatorError } from "../schemas/operatorError.js";
import type { AttemptResult } from "./attempt.js";
import type { NodeAddress } from "./nodeAddress.js";

/** Combined result of the attempts at several nodes. */
export interface NodesResult<Data> {
    readonly answer: Either<OperatorError, Data>;
    /** The node that returned the final response; absent when no node did. */
    readonly node?: NodeAddress;
}

type ErrorKind = OperatorError["kind"];

/** Errors after which another node may succeed: it may reach the platform, be ready or return the outcome. */
const RETRYABLE_AT_ANOTHER_NODE: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
    "PlatformUnavailable", "NotReady", "OutcomeUnknown", "Internal", "NodeUnreachable",
]);
/** Errors after which the change may have been accepted nevertheless. */
const UNCERTAIN_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(["OutcomeUnknown", "Internal"]);
/** Errors that a node returns only after it has looked up this change by its id. */
const DEFINITIVE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(["Conflict", "Invalid", "ChangeIdReused"]);

/** Returns whether the change may have been accepted, judging by this attempt alone. */
export const isUncertain = (result: AttemptResult<unknown>): boolean =>
    result.kind === "AnswerLost" ||
    result.kind === "Answered" && either.isLeft(result.answer) && UNCERTAIN_KINDS.has(result.answer.left.kind);

/** Returns whether the attempt has a final response, so that a request to another node could not change the result. */
export const isFinal = (result: AttemptResult<unknown>): boolean =>
    result.kind === "Answered" &&
    (either.isRight(result.answer) || !RETRYABLE_AT_ANOTHER_NODE.has(result.answer.left.kind));

/** Describes an attempt without a final response in a few words. */
export const describeAttempt = (result: AttemptResult<unknown>): string => {
    if (result.kind !== "Answered") {
        return result.detail;
    }
    return either.isLeft(result.answer) ? result.answer.left.kind : "answered";
};

/** Returns whether a final response states the outcome of this change, so that it is valid after a lost response. */
export const isDefinitive = ({ answer }: { readonly answer: Either<OperatorError, unknown> }): boolean =>
    either.isRight(answer) || DEFINITIVE_KINDS.has(answer.left.kind);

/**
 * Selects the error to report when no node returned a final response: the last error that a node returned, or
 * `NodeUnreachable` when no node returned one.
 */
export const selectError = <Data>(
    results: readonly AttemptResult<Data>[],
    failedAttempts: readonly FailedAttempt[],
): OperatorError => {
    const nodeErrors = results.flatMap((result) =>
        result.kind === "Answered" && either.isLeft(result.answer) ? [result.answer.left] : []);
    return nodeErrors.at(-1) ?? { kind: "NodeUnreachable", attempts: [...failedAttempts] };
};
