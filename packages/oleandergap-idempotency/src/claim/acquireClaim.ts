/**
 * One attempt to claim a key: a conditional insert that is repeated under the same attempt id until the row tells who
 * holds the key. A lost answer is read back and never guessed.
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
import { restoreAnswer, type ReplayedAnswer } from "./answer.js";
import type { BatchReader } from "./batchReader.js";
import type { BatchWriter } from "./batchWriter.js";
import { claimRowSchema, type ClaimedRow, type ClaimRow } from "./claimRow.js";
import { refuseOtherRequest, refuseUnavailable, tellDuplicate } from "./failures.js";
import type { PlatformPause } from "./platformPause.js";

export type KnownOutcome =
    /** The first answer, to be sent to the repeat. */
    | { readonly kind: "Replay"; readonly answer: ReplayedAnswer }
    /** The request ran and was answered, and the answer was too large to keep. */
    | { readonly kind: "AlreadyRan"; readonly status: number };

export type Acquired =
    | { readonly kind: "Held" }
    | KnownOutcome
    | { readonly kind: "Failed"; readonly failure: RequestFailure };

export interface AcquireDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly pause: PlatformPause;
    readonly clock: Clock;
    readonly random: Random;
    readonly signal: AbortSignal;
    readonly options: Pick<ClaimOptions, "retryPauseMs" | "maxRetryPauseMs" | "duplicateRetryAfterMs">;
}

/** What is known of one attempt while it is under way. */
export interface ClaimAttempt {
    readonly rowKey: string;
    readonly row: ClaimedRow;
    /** Monotonic time. */
    readonly startedAt: Milliseconds;
    /** Monotonic time of the last answer that it got, of its start before the first. */
    heardAt: Milliseconds;
    /** A write was sent whose fate is unknown: the row may exist, now or later. */
    mayExist: boolean;
    /** Nobody waits any more: stop at the next step. */
    abandoned: boolean;
}

type Reading =
    | { readonly kind: "Final"; readonly result: Acquired }
    | { readonly kind: "Insert"; readonly condition: RowCondition };

const final = (result: Acquired): Reading => ({ kind: "Final", result });

const fail = (failure: RequestFailure): Acquired => ({ kind: "Failed", failure });

/** What a repeat of a key is told when its outcome is known. */
export const describeFinished = (row: Extract<ClaimRow, { state: "finished" }>): KnownOutcome => {
    const answer = restoreAnswer(row.answer);
    return answer === undefined ?
        { kind: "AlreadyRan", status: row.answer.status } :
        { kind: "Replay", answer };
};

const judgeOther = (
    found: ClaimRow,
    version: RowVersion,
    fingerprint: string,
    retryAfterMs: Milliseconds,
): Reading => {
    if (found.state === "released") {
        return { kind: "Insert", condition: { kind: "VersionIs", version } };
    }
    if (found.fingerprint !== fingerprint) {
        return final(fail(refuseOtherRequest()));
    }
    return final(found.state === "finished" ? describeFinished(found) : fail(tellDuplicate(retryAfterMs)));
};

const judgeRow = (found: TableRow | undefined, own: ClaimedRow, retryAfterMs: Milliseconds): Reading => {
    if (found === undefined) {
        return { kind: "Insert", condition: { kind: "Absent" } };
    }
    const parsed = claimRowSchema.safeParse(found.value);
    if (!parsed.success) {
        // Written by a newer release, perhaps: it proves that the key was claimed, so it must not run again.
        return final(fail(tellDuplicate(retryAfterMs)));
    }
    return parsed.data.attemptId === own.attemptId ?
        final({ kind: "Held" }) :
        judgeOther(parsed.data, found.version, own.fingerprint, retryAfterMs);
};

const readRetryAfter = (error: PlatformError, pause: PlatformPause): Milliseconds =>
    error.kind === "OverBudget" ? error.retryAfterMs : pause.remaining();

/** What a repeat is told of a key that it must not claim. */
export const judgeForeignRow = (
    value: unknown,
    fingerprint: string,
    retryAfterMs: Milliseconds,
): Either<RequestFailure, KnownOutcome> => {
    const parsed = claimRowSchema.safeParse(value);
    if (!parsed.success || parsed.data.state === "released") {
        return either.left(tellDuplicate(retryAfterMs));
    }
    if (parsed.data.fingerprint !== fingerprint) {
        return either.left(refuseOtherRequest());
    }
    return parsed.data.state === "finished" ?
        either.right(describeFinished(parsed.data)) :
        either.left(tellDuplicate(retryAfterMs));
};

export const acquireClaim = async (attempt: ClaimAttempt, dependencies: AcquireDependencies): Promise<Acquired> => {
    const { reader, writer, pause, clock, random, signal, options } = dependencies;
    const { rowKey, row } = attempt;

    const noteAnswer = (): void => {
        attempt.heardAt = clock.monotonic();
        pause.reportSuccess();
    };

    const stopped = (): boolean => attempt.abandoned || signal.aborted;

    const readBack = async (): Promise<Reading> => {
        for (let failures = 0; !stopped(); failures++) {
            const outcome = await reader.read(rowKey);
            if (either.isRight(outcome)) {
                noteAnswer();
                return judgeRow(outcome.right, row, options.duplicateRetryAfterMs);
            }
            if (!attempt.mayExist) {
                pause.reportFailure(attempt.startedAt);
                return final(fail(refuseUnavailable(readRetryAfter(outcome.left, pause))));
            }
            const backoff = drawBackoff(random, failures, options.retryPauseMs, options.maxRetryPauseMs);
            await clock.sleep(options.retryPauseMs + backoff, signal);
        }
        return final(fail(refuseUnavailable(options.duplicateRetryAfterMs)));
    };

    let condition: RowCondition = { kind: "Absent" };
    while (!stopped()) {
        const outcome = await writer.submit({ key: rowKey, condition, value: row });
        if (outcome.kind !== "Failed") {
            noteAnswer();
        }
        if (outcome.kind === "Written") {
            return { kind: "Held" };
        }
        if (outcome.kind === "Failed" && outcome.error.kind === "OutcomeUnknown") {
            attempt.mayExist = true;
        }
        else if (outcome.kind === "Failed" && !attempt.mayExist) {
            pause.reportFailure(attempt.startedAt);
            return fail(refuseUnavailable(readRetryAfter(outcome.error, pause)));
        }
        const reading = await readBack();
        if (reading.kind === "Final") {
            return reading.result;
        }
        condition = reading.condition;
    }
    return fail(refuseUnavailable(options.duplicateRetryAfterMs));
};
