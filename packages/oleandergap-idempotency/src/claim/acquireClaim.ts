/**
 * One attempt to claim a key: a conditional insert that is retried with the same attempt id until the row shows which
 * attempt holds the key. When a response is lost, the row is read back; the outcome is never guessed.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Clock,
    Milliseconds,
    PlatformError,
    RequestFailure,
    RowCondition,
    RowVersion,
    TableRow,
} from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";
import { restoreResponse, type ReplayedResponse } from "./targetResponse.js";
import type { BatchReader } from "./batchReader.js";
import type { BatchWriter } from "./batchWriter.js";
import { claimRowSchema, type ClaimedRow, type ClaimRow } from "./claimRow.js";
import { createKeyReuseFailure, createUnavailableFailure, createDuplicateFailure } from "./failures.js";
import type { PlatformCircuitBreaker } from "./platformCircuitBreaker.js";

export type KnownOutcome =
    /** The response to the first request, to be sent to the repeated request. */
    | { readonly kind: "Replay"; readonly answer: ReplayedResponse }
    /** The request ran and the target responded, but the body of the response was not stored. */
    | { readonly kind: "AlreadyRan"; readonly status: number };

export type AcquireResult =
    | { readonly kind: "Held" }
    | KnownOutcome
    | { readonly kind: "Failed"; readonly failure: RequestFailure };

export interface AcquireDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly circuitBreaker: PlatformCircuitBreaker;
    readonly clock: Clock;
    readonly random: Random;
    readonly signal: AbortSignal;
    readonly options: Pick<ClaimOptions, "retryPauseMs" | "maxRetryPauseMs" | "duplicateRetryAfterMs">;
}

/** State of one claim attempt in flight. */
export interface ClaimAttempt {
    readonly rowKey: string;
    readonly row: ClaimedRow;
    /** Monotonic time at which the attempt started. */
    readonly startedAt: Milliseconds;
    /** Monotonic time of the last response to this attempt; the start time before the first response. */
    lastResponseAt: Milliseconds;
    /** True when a write with an unknown outcome was sent: the row may exist now or appear later. */
    mayRowExist: boolean;
    /** True when no caller waits for the result any more; the attempt then ends before its next call. */
    abandoned: boolean;
}

type RowDecision =
    | { readonly kind: "Final"; readonly result: AcquireResult }
    | { readonly kind: "Insert"; readonly condition: RowCondition };

const createFinalDecision = (result: AcquireResult): RowDecision => ({ kind: "Final", result });

const createFailedResult = (failure: RequestFailure): AcquireResult => ({ kind: "Failed", failure });

/** Returns the outcome for a repeated request from the row of a finished one. */
export const createKnownOutcome = (row: Extract<ClaimRow, { state: "finished" }>): KnownOutcome => {
    const response = restoreResponse(row.answer);
    return response === undefined ?
        { kind: "AlreadyRan", status: row.answer.status } :
        { kind: "Replay", answer: response };
};

const evaluateOtherClaim = (
    found: ClaimRow,
    version: RowVersion,
    fingerprint: string,
    retryAfterMs: Milliseconds,
): RowDecision => {
    if (found.state === "released") {
        return { kind: "Insert", condition: { kind: "VersionIs", version } };
    }
    if (found.fingerprint !== fingerprint) {
        return createFinalDecision(createFailedResult(createKeyReuseFailure()));
    }
    return createFinalDecision(
        found.state === "finished" ?
            createKnownOutcome(found) :
            createFailedResult(createDuplicateFailure(retryAfterMs)),
    );
};

const evaluateRow = (found: TableRow | undefined, claimedRow: ClaimedRow, retryAfterMs: Milliseconds): RowDecision => {
    if (found === undefined) {
        return { kind: "Insert", condition: { kind: "Absent" } };
    }
    const parsed = claimRowSchema.safeParse(found.value);
    if (!parsed.success) {
        // A newer release may have written the row. The row proves that the key was claimed, so it must not run again.
        return createFinalDecision(createFailedResult(createDuplicateFailure(retryAfterMs)));
    }
    return parsed.data.attemptId === claimedRow.attemptId ?
        createFinalDecision({ kind: "Held" }) :
        evaluateOtherClaim(parsed.data, found.version, claimedRow.fingerprint, retryAfterMs);
};

const getRetryAfter = (error: PlatformError, circuitBreaker: PlatformCircuitBreaker): Milliseconds =>
    error.kind === "OverBudget" ? error.retryAfterMs : circuitBreaker.remainingOpenTime();

/** Returns the result for a repeated request from the row of its key, without claiming the key. */
export const evaluateWithoutClaiming = (
    value: unknown,
    fingerprint: string,
    retryAfterMs: Milliseconds,
): Either<RequestFailure, KnownOutcome> => {
    const parsed = claimRowSchema.safeParse(value);
    if (!parsed.success || parsed.data.state === "released") {
        return either.left(createDuplicateFailure(retryAfterMs));
    }
    if (parsed.data.fingerprint !== fingerprint) {
        return either.left(createKeyReuseFailure());
    }
    return parsed.data.state === "finished" ?
        either.right(createKnownOutcome(parsed.data)) :
        either.left(createDuplicateFailure(retryAfterMs));
};

/** Claims the key of `attempt`, with retries until the outcome is certain or the attempt is aborted. */
export const acquireClaim = async (
    attempt: ClaimAttempt,
    dependencies: AcquireDependencies,
): Promise<AcquireResult> => {
    const { reader, writer, circuitBreaker, clock, random, signal, options } = dependencies;
    const { rowKey, row } = attempt;

    const recordResponse = (): void => {
        attempt.lastResponseAt = clock.monotonic();
        circuitBreaker.reportSuccess();
    };

    const isStopped = (): boolean => attempt.abandoned || signal.aborted;

    const readBack = async (): Promise<RowDecision> => {
        for (let failures = 0; !isStopped(); failures++) {
            const outcome = await reader.read(rowKey);
            if (either.isRight(outcome)) {
                recordResponse();
                return evaluateRow(outcome.right, row, options.duplicateRetryAfterMs);
            }
            if (!attempt.mayRowExist) {
                circuitBreaker.reportFailure(attempt.startedAt);
                return createFinalDecision(
                    createFailedResult(createUnavailableFailure(getRetryAfter(outcome.left, circuitBreaker))),
                );
            }
            const backoff = drawBackoff(random, failures, options.retryPauseMs, options.maxRetryPauseMs);
            await clock.sleep(options.retryPauseMs + backoff, signal);
        }
        return createFinalDecision(createFailedResult(createUnavailableFailure(options.duplicateRetryAfterMs)));
    };

    let condition: RowCondition = { kind: "Absent" };
    while (!isStopped()) {
        const outcome = await writer.submit({ key: rowKey, condition, value: row });
        if (outcome.kind !== "Failed") {
            recordResponse();
        }
        if (outcome.kind === "Written") {
            return { kind: "Held" };
        }
        if (outcome.kind === "Failed" && outcome.error.kind === "OutcomeUnknown") {
            attempt.mayRowExist = true;
        }
        else if (outcome.kind === "Failed" && !attempt.mayRowExist) {
            circuitBreaker.reportFailure(attempt.startedAt);
            return createFailedResult(createUnavailableFailure(getRetryAfter(outcome.error, circuitBreaker)));
        }
        const decision = await readBack();
        if (decision.kind === "Final") {
            return decision.result;
        }
        condition = decision.condition;
    }
    return createFailedResult(createUnavailableFailure(options.duplicateRetryAfterMs));
};
