/**
 * Departures of the targets beside a node: lifetimes that have announced that they leave, which are never used again
 * whatever arrives from them later, and the order of an operator to drain a target.
 */
import { announcementSchema, type Milliseconds } from "oleandergap-types";
import { z } from "zod";
import type { LifetimeReference } from "../target/lifetimes.js";

const recordedAtSchema = z.number().int().nonnegative();

/** Identifies a target that an operator drains. Targets without an instance id are told apart by their port. */
export const drainedTargetSchema = announcementSchema
    .pick({ partner: true, service: true, port: true, instanceId: true, bornAt: true });
export type DrainedTarget = z.infer<typeof drainedTargetSchema>;

export const departureSchema = z.discriminatedUnion("kind", [
    /** A lifetime of the target beside a node has announced that it leaves. */
    z.strictObject({
        kind: z.literal("Left"),
        instanceId: announcementSchema.shape.instanceId.unwrap(),
        bornAt: announcementSchema.shape.bornAt,
        /** Unix time. */
        recordedAt: recordedAtSchema,
    }),
    /** An operator has ordered to drain the target. Replaces the node's earlier order. */
    z.strictObject({ kind: z.literal("Drained"), target: drainedTargetSchema, recordedAt: recordedAtSchema }),
    /** The drained target is gone, so that the order has ended. */
    z.strictObject({ kind: z.literal("DrainEnded"), recordedAt: recordedAtSchema }),
]);
export type Departure = z.infer<typeof departureSchema>;

/** A departure that has not been recorded yet. */
export type NewDeparture =
    | { readonly kind: "Left"; readonly lifetime: LifetimeReference }
    | { readonly kind: "Drained"; readonly target: DrainedTarget }
    | { readonly kind: "DrainEnded" };

/**
 * Time after which a departure other than an order in force may be forgotten. It exceeds the delay of any announcement
 * that may still arrive.
 */
export const RETENTION_MS: Milliseconds = 3_600_000;

/** A place outside of the node's process where its departures are stored. */
export interface DepartureStorage {
    /** Name in log lines. */
    readonly name: string;
    /** Resolves with whether the departure is stored. Never rejects. */
    readonly write: (departure: Departure, signal: AbortSignal) => Promise<boolean>;
    /** Resolves with the node's stored departures; undefined if the storage did not respond. Never rejects. */
    readonly read: (signal: AbortSignal) => Promise<readonly Departure[] | undefined>;
}

/** Returns a text that identifies what a departure is about. A later departure with the same subject replaces it. */
export const formatSubject = (departure: Departure): string =>
    departure.kind === "Left" ? `left ${departure.instanceId} ${departure.bornAt ?? ""}` : "drain";

/** Returns the departures without those that others replace. */
export const selectLatest = (departures: readonly Departure[]): readonly Departure[] => {
    const latest = new Map<string, Departure>();
    for (const departure of departures) {
        const known = latest.get(formatSubject(departure));
        if (known === undefined || known.recordedAt < departure.recordedAt) {
            latest.set(formatSubject(departure), departure);
        }
    }
    return [...latest.values()];
};
