/**
 * One partition as seen by one process: taken, held, handed over. A write whose answer was lost may land later, so it
 * is never forgotten: the row is read again until it tells the outcome or its version has moved on.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds, RowVersion } from "oleandergap-types";
import type { BatchReader } from "../claim/batchReader.js";
import type { BatchWriter, WriteOutcome } from "../claim/batchWriter.js";
import type { KeyLedger } from "./keyLedger.js";
import type { Holder, KeyRange, PartitionRow } from "./ownershipRows.js";
import type { Takeover, TakeoverStep } from "./takeover.js";

type HoldingState =
    | { readonly kind: "None" }
    /** A write that takes the partition may be on its way. */
    | { readonly kind: "Taking" }
    | { readonly kind: "Held"; readonly version: RowVersion; readonly range: KeyRange }
    /** No key is accepted any more; `isUncertain` once a write that gives it up may be on its way. */
    | { readonly kind: "Leaving"; readonly version: RowVersion; readonly range: KeyRange; readonly isUncertain: boolean };

export interface PartitionHolding {
    /** The keys that may be accepted; undefined when this process does not hold the partition. */
    readonly range: () => KeyRange | undefined;
    /** Keys up to `keyTime` are recorded and no longer in memory. */
    readonly raiseRecorded: (keyTime: Milliseconds) => void;
    /** One step towards holding the partition, or towards giving it up. Never rejects. */
    readonly step: (isWanted: boolean) => Promise<void>;
    readonly isIdle: () => boolean;
}

export interface PartitionHoldingDependencies {
    readonly partitionKey: string;
    readonly holder: Holder;
    readonly takeover: Takeover;
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly ledger: Pick<KeyLedger, "isSettled">;
    readonly ceiling: () => Milliseconds;
    /** The row of a partition that nobody has held yet. */
    readonly createVacantRow: () => PartitionRow;
}

const isUncertainOutcome = (outcome: WriteOutcome): boolean =>
    outcome.kind === "Failed" && outcome.error.kind === "OutcomeUnknown";

export const createPartitionHolding = (dependencies: PartitionHoldingDependencies): PartitionHolding => {
    const { partitionKey, holder, takeover, reader, writer, ledger, ceiling, createVacantRow } = dependencies;
    let state: HoldingState = { kind: "None" };

    const take = async (step: Extract<TakeoverStep, { kind: "Take" }>): Promise<void> => {
        const outcome = await writer.submit({ key: partitionKey, condition: step.condition, value: step.row });
        if (isUncertainOutcome(outcome)) {
            state = { kind: "Taking" };
        }
        // A written row is read again at the next step, which tells its version.
        else if (outcome.kind === "Written") {
            state = { kind: "Taking" };
            await approach();
        }
    };

    const approach = async (): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { kind: "Held", version: step.version, range: step.range };
        }
        else if (step.kind === "Take") {
            await take(step);
        }
    };

    /** Writes the row once more, so that the take that may be on its way fails. */
    const withdraw = async (): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { kind: "Held", version: step.version, range: step.range };
            return;
        }
        const found = await reader.read(partitionKey);
        if (either.isLeft(found)) {
            return;
        }
        const current = found.right;
        const outcome = await writer.submit(current === undefined ?
            { key: partitionKey, condition: { kind: "Absent" }, value: createVacantRow() } :
            { key: partitionKey, condition: { kind: "VersionIs", version: current.version }, value: current.value });
        if (outcome.kind === "Written") {
            state = { kind: "None" };
        }
    };

    const readAfterGivingUp = async (leaving: Extract<HoldingState, { kind: "Leaving" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { ...leaving, version: step.version };
        }
        else if (step.kind === "Take") {
            state = { kind: "None" };
        }
    };

    /** A partition that cannot be handed over now, as in an outage, is better served than refused. */
    const stayIfUnreachable = async (leaving: Extract<HoldingState, { kind: "Leaving" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind !== "Held" && !leaving.isUncertain) {
            state = { kind: "Held", version: leaving.version, range: leaving.range };
        }
    };

    const giveUp = async (leaving: Extract<HoldingState, { kind: "Leaving" }>): Promise<void> => {
        if (!ledger.isSettled(partitionKey)) {
            await stayIfUnreachable(leaving);
            return;
        }
        const { version, range, isUncertain } = leaving;
        const value: PartitionRow = { ...range, recordedUpTo: Math.max(range.recordedUpTo, ceiling()) };
        const outcome = await writer.submit({ key: partitionKey, condition: { kind: "VersionIs", version }, value });
        if (outcome.kind === "Written") {
            state = { kind: "None" };
        }
        else if (outcome.kind === "ConditionFailed" || isUncertainOutcome(outcome)) {
            state = { ...leaving, isUncertain: true };
            await readAfterGivingUp(state);
        }
        // The platform surely took nothing.
        else if (!isUncertain) {
            state = { kind: "Held", version, range };
        }
    };

    const startLeaving = async (held: Extract<HoldingState, { kind: "Held" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { kind: "Leaving", version: step.version, range: held.range, isUncertain: false };
            await giveUp(state);
        }
    };

    const step = async (isWanted: boolean): Promise<void> => {
        if (state.kind === "None" && isWanted) {
            await approach();
        }
        else if (state.kind === "Taking") {
            await (isWanted ? approach() : withdraw());
        }
        else if (state.kind === "Held" && !isWanted) {
            await startLeaving(state);
        }
        else if (state.kind === "Leaving") {
            await giveUp(state);
        }
    };

    return {
        range: () => state.kind === "Held" ? state.range : undefined,
        raiseRecorded: (keyTime) => {
            if (state.kind === "Held" || state.kind === "Leaving") {
                const recordedUpTo = Math.max(state.range.recordedUpTo, keyTime);
                state = { ...state, range: { ...state.range, recordedUpTo } };
            }
        },
        step,
        isIdle: () => state.kind === "None",
    };
};
