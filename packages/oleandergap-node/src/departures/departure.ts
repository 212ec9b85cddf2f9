/**
 * Departures: lifetimes of targets that have announced that they leave. A lifetime that has left is never used again,
 * whatever arrives from it later.
 */
import { announcementSchema, type Milliseconds } from "oleandergap-types";
import { z } from "zod";
import type { LifetimeReference } from "../target/lifetimes.js";

/** A lifetime of the target beside a node that has announced that it leaves. */
export const departureSchema = z.strictObject({
    instanceId: announcementSchema.shape.instanceId.unwrap(),
    bornAt: announcementSchema.shape.bornAt,
    /** Unix time at which the departure was announced. */
    departedAt: z.number().int().nonnegative(),
});
export type Departure = z.infer<typeof departureSchema>;

/** Time after which a departure may be forgotten. It exceeds the delay of any announcement that may still arrive. */
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

/** Returns a text that identifies a lifetime. */
export const formatLifetime = ({ instanceId, bornAt }: LifetimeReference): string =>
    `${instanceId ?? ""} ${bornAt ?? ""}`;
