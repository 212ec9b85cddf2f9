/**
 * Positions in the history of a store that may be restored from a backup. The restored store gives versions out again,
 * for other contents, so that a version means something only within one era: the time from one restore to the next.
 */
import { z } from "zod";

/** Counts the restores of a store; 0 for a store that does not tell. */
export const storeEraSchema = z.number().int().nonnegative();
export type StoreEra = z.infer<typeof storeEraSchema>;

/** The era of a store that does not tell one: all of its life. */
export const UNTOLD_ERA: StoreEra = 0;

/** A transaction of a store. */
export const storePositionSchema = z.strictObject({
    era: storeEraSchema,
    /** Grows within an era. Those of two eras say nothing about each other. */
    version: z.number().int().nonnegative(),
});
export type StorePosition = z.infer<typeof storePositionSchema>;

/** False for equal versions of two eras: they may stand for different contents. */
export const isSamePosition = (left: StorePosition, right: StorePosition): boolean =>
    left.era === right.era && left.version === right.version;
