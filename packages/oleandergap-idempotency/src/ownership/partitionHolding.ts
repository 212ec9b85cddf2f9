/**
 * State of one partition in one process: being taken, held or being handed over. A write whose response was lost may
 * take effect later, so it stays part of the state: the row is read again until it shows the outcome of the write or
 * its version has changed.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds, RowVersion } from "oleandergap-types";
import type { BatchReader } from "../claim/batchReader.js";
import type { BatchWriter, WriteOutcome } from "../claim/batchWriter.js";
import type { KeyRegistry } from "./keyRegistry.js";
import type { Holder, KeyRange, PartitionRow } from "./ownershipRows.js";
import type { Takeover, TakeoverStep } from "./takeover.js";

type HoldingState =
    | { readonly kind: "None" }
    /** A write that takes the partition may be in flight. */
    | { readonly kind: "Taking" }
    | { readonly kind: "Held"; readonly version: RowVersion; readonly range: KeyRange }
    /** No more keys are accepted. `isPending` is true when a write that hands the partition over may be in flight. */
    | { readonly kind: "HandingOver"; readonly version: RowVersion; readonly range: KeyRange; readonly isPending: boolean };

export interface PartitionHolding {
    /** Returns the key range of the partition, or undefined when this process does not hold the partition. */
    readonly range: () => KeyRange | undefined;
    /** Raises `recordedUpTo` to `keyTime`: keys up to this timestamp are recorded and may no longer be in memory. */
    readonly raiseRecordedUpTo: (keyTime: Milliseconds) => void;
    /** Performs one step towards holding the partition or towards handing it over. Never rejects. */
    readonly step: (shouldHold: boolean) => Promise<void>;
    /** Returns whether the process neither holds the partition nor is taking it or handing it over. */
    readonly isIdle: () => boolean;
}

export interface PartitionHoldingDependencies {
    readonly partitionKey: string;
    readonly holder: Holder;
    readonly takeover: Takeover;
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly keyRegistry: Pick<KeyRegistry, "isSettled">;
    /** Returns the latest key timestamp that this process's lease allows. */
    readonly ceiling: () => Milliseconds;
    /** Creates the row of a partition that has had no holder yet. */
    readonly createVacantRow: () => PartitionRow;
}

const isUnknownOutcome = (outcome: WriteOutcome): boolean =>
    outcome.kind === "Failed" && outcome.error.kind === "OutcomeUnknown";

export const createPartitionHolding = (dependencies: PartitionHoldingDependencies): PartitionHolding => {
    const { partitionKey, holder, takeover, reader, writer, keyRegistry, ceiling, createVacantRow } = dependencies;
    let state: HoldingState = { kind: "None" };

    const take = async (step: Extract<TakeoverStep, { kind: "Take" }>): Promise<void> => {
        const outcome = await writer.submit({ key: partitionKey, condition: step.condition, value: step.row });
        if (isUnknownOutcome(outcome)) {
            state = { kind: "Taking" };
        }
        // The written row is read again in the next step, which returns its version.
        else if (outcome.kind === "Written") {
            state = { kind: "Taking" };
            await inspectAndTake();
        }
    };

    const inspectAndTake = async (): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { kind: "Held", version: step.version, range: step.range };
        }
        else if (step.kind === "Take") {
            await take(step);
        }
    };

    /** Writes the row again, so that a write that takes the partition and may still be in flight fails. */
    const cancelTake = async (): Promise<void> => {
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

    const checkHandover = async (handover: Extract<HoldingState, { kind: "HandingOver" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { ...handover, version: step.version };
        }
        else if (step.kind === "Take") {
            state = { kind: "None" };
        }
    };

    /**
     * Holds the partition again when it cannot be handed over now, for example during an outage; accepting its keys is
     * better than refusing them.
     */
    const resumeIfUnreachable = async (handover: Extract<HoldingState, { kind: "HandingOver" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind !== "Held" && !handover.isPending) {
            state = { kind: "Held", version: handover.version, range: handover.range };
        }
    };

    const handOver = async (handover: Extract<HoldingState, { kind: "HandingOver" }>): Promise<void> => {
        if (!keyRegistry.isSettled(partitionKey)) {
            await resumeIfUnreachable(handover);
            return;
        }
        const { version, range, isPending } = handover;
        const value: PartitionRow = { ...range, recordedUpTo: Math.max(range.recordedUpTo, ceiling()) };
        const outcome = await writer.submit({ key: partitionKey, condition: { kind: "VersionIs", version }, value });
        if (outcome.kind === "Written") {
            state = { kind: "None" };
        }
        else if (outcome.kind === "ConditionFailed" || isUnknownOutcome(outcome)) {
            state = { ...handover, isPending: true };
            await checkHandover(state);
        }
        // The write certainly did not take effect.
        else if (!isPending) {
            state = { kind: "Held", version, range };
        }
    };

    const startHandover = async (held: Extract<HoldingState, { kind: "Held" }>): Promise<void> => {
        const step = await takeover.inspect(partitionKey, holder);
        if (step.kind === "Held") {
            state = { kind: "HandingOver", version: step.version, range: held.range, isPending: false };
            await handOver(state);
        }
    };

    const step = async (shouldHold: boolean): Promise<void> => {
        if (state.kind === "None" && shouldHold) {
            await inspectAndTake();
        }
        else if (state.kind === "Taking") {
            await (shouldHold ? inspectAndTake() : cancelTake());
        }
        else if (state.kind === "Held" && !shouldHold) {
            await startHandover(state);
        }
        else if (state.kind === "HandingOver") {
            await handOver(state);
        }
    };

    return {
        range: () => state.kind === "Held" ? state.range : undefined,
        raiseRecordedUpTo: (keyTime) => {
            if (state.kind === "Held" || state.kind === "HandingOver") {
                const recordedUpTo = Math.max(state.range.recordedUpTo, keyTime);
                state = { ...state, range: { ...state.range, recordedUpTo } };
            }
        },
        step,
        isIdle: () => state.kind === "None",
    };
};
