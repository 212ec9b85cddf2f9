/** Chooses how the holder of a partition decides on a key that is not in its memory. */
import type { Milliseconds } from "oleandergap-types";
import type { KeyRange } from "./ownershipRows.js";

export type DecisionSource =
    /** No other process ever accepts this key, so it can be accepted from memory. */
    | "Memory"
    /** All earlier acceptances of such keys are recorded, so the key is claimed in the platform's table. */
    | "Durable"
    /** An earlier holder may have run the request without recording it. */
    | "Unknown"
    /** The key's timestamp is later than the lease allows now. */
    | "BeyondLease";

export const chooseDecisionSource = (keyTime: Milliseconds, range: KeyRange, ceiling: Milliseconds): DecisionSource => {
    if (keyTime <= range.unknownUpTo) {
        return "Unknown";
    }
    if (keyTime <= range.recordedUpTo) {
        return "Durable";
    }
    return keyTime <= ceiling ? "Memory" : "BeyondLease";
};
