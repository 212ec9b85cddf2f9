/**
 * Records the outcome of claims in the background: the target's response, or the fact that a claimed request certainly
 * did not run. It retries until the platform has stored the outcome, because a claim without an outcome blocks its key
 * for days.
 *
 * The row of a released key is not deleted but gets the state `released`. An insert of a claim whose response was lost
 * may still be in flight. Its condition requires that no row exists, so while the released row exists the insert cannot
 * take effect later and block a key that did not run. Otherwise repeats of such a key would fail with "may have run"
 * although no target ever received the request.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, RowCondition, RowVersion, TableRow } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";
import type { BatchReader, ReadOutcome } from "./batchReader.js";
import type { BatchWriter } from "./batchWriter.js";
import { claimRowSchema, type ClaimRow } from "./claimRow.js";
import type { PlatformCircuitBreaker } from "./platformCircuitBreaker.js";

export interface Settlement {
    readonly rowKey: string;
    readonly row: ClaimRow;
    /** True when no row of the key can exist yet; the first attempt then writes without reading the row. */
    readonly isFirst?: boolean;
}

export interface Settler {
    /** Resolves to true when the outcome is recorded, or to false when the process stops earlier. Never rejects. */
    readonly settle: (settlement: Settlement) => Promise<boolean>;
}

export interface SettlerDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly circuitBreaker: PlatformCircuitBreaker;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly signal: AbortSignal;
    readonly options: Pick<ClaimOptions, "retryPauseMs" | "maxRetryPauseMs">;
}

type NextStep =
    | { readonly kind: "Done" }
    | { readonly kind: "Retry" }
    | { readonly kind: "Write"; readonly condition: RowCondition };

const createReplaceStep = (version: RowVersion): NextStep => ({ kind: "Write", condition: { kind: "VersionIs", version } });

/**
 * Returns the next step for the row as just read. A row that another attempt claimed or finished is never overwritten.
 * A row that another attempt released is overwritten: a claim of this process that was to replace it may still be in
 * flight, and the new version of the row makes that claim fail.
 */
const chooseStep = ({ row }: Settlement, found: TableRow | undefined): NextStep => {
    if (found === undefined) {
        return { kind: "Write", condition: { kind: "Absent" } };
    }
    const parsed = claimRowSchema.safeParse(found.value);
    if (!parsed.success || parsed.data.state === "finished") {
        return { kind: "Done" };
    }
    const isSameAttempt = parsed.data.attemptId === row.attemptId;
    if (parsed.data.state === "released") {
        return isSameAttempt ? { kind: "Done" } : createReplaceStep(found.version);
    }
    return isSameAttempt && row.state !== "claimed" ? createReplaceStep(found.version) : { kind: "Done" };
};

const toStep = (settlement: Settlement, outcome: ReadOutcome): NextStep =>
    either.isLeft(outcome) ? { kind: "Retry" } : chooseStep(settlement, outcome.right);

export const createSettler = (dependencies: SettlerDependencies): Settler => {
    const { reader, writer, circuitBreaker, clock, random, logger, signal, options } = dependencies;

    const findStep = async (settlement: Settlement, attempt: number): Promise<NextStep> =>
        settlement.isFirst === true && attempt === 0 ?
            { kind: "Write", condition: { kind: "Absent" } } :
            toStep(settlement, await reader.read(settlement.rowKey));

    const attemptSettlement = async (settlement: Settlement, attempt: number): Promise<boolean> => {
        const step = await findStep(settlement, attempt);
        if (step.kind !== "Write") {
            return step.kind === "Done";
        }
        const { rowKey, row } = settlement;
        const outcome = await writer.submit({ key: rowKey, condition: step.condition, value: row });
        return outcome.kind === "Written";
    };

    const settle = async (settlement: Settlement): Promise<boolean> => {
        for (let attempt = 0; !signal.aborted; attempt++) {
            if (await attemptSettlement(settlement, attempt)) {
                return true;
            }
            const backoff = drawBackoff(random, attempt, options.retryPauseMs, options.maxRetryPauseMs);
            await clock.sleep(Math.max(circuitBreaker.remainingOpenTime(), options.retryPauseMs + backoff), signal);
        }
        logger.warn("stopped before an outcome was recorded; repeated requests with its key fail because it may have run");
        return false;
    };

    return { settle };
};
