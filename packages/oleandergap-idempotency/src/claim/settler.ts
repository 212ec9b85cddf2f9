/**
 * Records outcomes behind the caller's back: an answer, or the fact that a claimed request surely did not run. Repeats
 * until the platform has it, because a claim that stays open keeps its key blocked for days.
 *
 * A released key keeps its row, in state `released`, instead of losing it. A claim whose answer was lost may still be
 * on its way; it demands an absent row, so with a row in place it can never land later and block a key that did not
 * run. One would otherwise see keys that answer "may have run" although no target ever saw them.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, RowCondition, RowVersion, TableRow } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";
import type { BatchReader, ReadOutcome } from "./batchReader.js";
import type { BatchWriter } from "./batchWriter.js";
import { claimRowSchema, type ClaimRow } from "./claimRow.js";
import type { PlatformPause } from "./platformPause.js";

export interface Settlement {
    readonly rowKey: string;
    readonly row: ClaimRow;
    /** No row of the key can exist yet: spares the first read. */
    readonly isFirst?: boolean;
}

export interface Settler {
    /** Resolves with true when the outcome is recorded, with false when the process stops first. Never rejects. */
    readonly settle: (settlement: Settlement) => Promise<boolean>;
}

export interface SettlerDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly pause: PlatformPause;
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

const replace = (version: RowVersion): NextStep => ({ kind: "Write", condition: { kind: "VersionIs", version } });

/**
 * What the row, as just read, leaves to do. A row that another attempt holds or finished is never overwritten. One that
 * another attempt released is: a claim of ours that was to replace it may still be on its way, and the new version
 * makes it fail.
 */
const chooseStep = ({ row }: Settlement, found: TableRow | undefined): NextStep => {
    if (found === undefined) {
        return { kind: "Write", condition: { kind: "Absent" } };
    }
    const parsed = claimRowSchema.safeParse(found.value);
    if (!parsed.success || parsed.data.state === "finished") {
        return { kind: "Done" };
    }
    const isOwn = parsed.data.attemptId === row.attemptId;
    if (parsed.data.state === "released") {
        return isOwn ? { kind: "Done" } : replace(found.version);
    }
    return isOwn && row.state !== "claimed" ? replace(found.version) : { kind: "Done" };
};

const toStep = (settlement: Settlement, outcome: ReadOutcome): NextStep =>
    either.isLeft(outcome) ? { kind: "Retry" } : chooseStep(settlement, outcome.right);

export const createSettler = (dependencies: SettlerDependencies): Settler => {
    const { reader, writer, pause, clock, random, logger, signal, options } = dependencies;

    const findStep = async (settlement: Settlement, attempt: number): Promise<NextStep> =>
        settlement.isFirst === true && attempt === 0 ?
            { kind: "Write", condition: { kind: "Absent" } } :
            toStep(settlement, await reader.read(settlement.rowKey));

    const tryOnce = async (settlement: Settlement, attempt: number): Promise<boolean> => {
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
            if (await tryOnce(settlement, attempt)) {
                return true;
            }
            const backoff = drawBackoff(random, attempt, options.retryPauseMs, options.maxRetryPauseMs);
            await clock.sleep(Math.max(pause.remaining(), options.retryPauseMs + backoff), signal);
        }
        logger.warn("stopped before an outcome was recorded; repeats of its key are told that it may have run");
        return false;
    };

    return { settle };
};
