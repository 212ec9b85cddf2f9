/**
 * Positions in the history of a store that may be restored from a backup. A restored store reuses version numbers for
 * different contents, so versions are comparable only within one era, the period between two restores.
 */
import { z } from "zod";

/** Number of restores of a store; 0 if the store does not report it. */
export const storeEraSchema = z.number().int().nonnegative();
export type StoreEra = z.infer<typeof storeEraSchema>;

/** The only era of a store that does not report its era. */
export const DEFAULT_STORE_ERA: StoreEra = 0;

/** The position of a transaction in the history of a store. */
export const storePositionSchema = z.strictObject({
    era: storeEraSchema,
    /** Increases within an era. Versions of different eras are not comparable. */
    version: z.number().int().nonnegative(),
});
export type StorePosition = z.infer<typeof storePositionSchema>;

/**
 * Returns whether two positions are the same. Equal versions of two eras are different positions, because they may
 * refer to different contents.
 */
export const isSamePosition = (left: StorePosition, right: StorePosition): boolean =>
    left.era === right.era && left.version === right.version;
