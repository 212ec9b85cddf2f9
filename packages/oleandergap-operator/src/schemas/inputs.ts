/** Inputs of the procedures. Unknown keys are rejected, so that a misspelt key is never silently ignored. */
import { cellEditsSchema, changeIdSchema, pageRequestSchema } from "oleandergap-configuration";
import { rolloutOrderSchema } from "oleandergap-rollout";
import { nodeIdSchema, serviceNameSchema } from "oleandergap-types";
import { z } from "zod";

/** Change with its id. */
export const changeInputSchema = z.strictObject({ changeId: changeIdSchema, edits: cellEditsSchema });
export type ChangeInput = z.infer<typeof changeInputSchema>;

/** Change that is validated but not accepted. */
export const validateInputSchema = z.strictObject({ edits: cellEditsSchema });
export type ValidateInput = z.infer<typeof validateInputSchema>;

/** `inForce`: the version that the queried node serves from. `accepted`: the newest version at the platform. */
export const tableSourceSchema = z.enum(["inForce", "accepted"]);
export type TableSource = z.infer<typeof tableSourceSchema>;

/** Selects the version of the table to return. */
export const tableInputSchema = z.strictObject({ source: tableSourceSchema.default("inForce") });
export type TableInput = z.input<typeof tableInputSchema>;

/** Selects the row and the version of the table to return. */
export const rowInputSchema = tableInputSchema.extend({ service: serviceNameSchema });
export type RowInput = z.input<typeof rowInputSchema>;

/** Selects a page of entries. Entries are sorted from newest to oldest. */
export const pageInputSchema = pageRequestSchema;
export type PageInput = z.input<typeof pageInputSchema>;

/** Selects the node whose target is drained. */
export const drainInputSchema = z.strictObject({ nodeId: nodeIdSchema });
export type DrainInput = z.infer<typeof drainInputSchema>;

/** Orders a roll-out. The id makes a repeated order harmless. */
export const startRolloutInputSchema = rolloutOrderSchema.extend({ service: serviceNameSchema });
export type StartRolloutInput = z.infer<typeof startRolloutInputSchema>;

/** Selects the roll-out that is stopped. */
export const abortRolloutInputSchema = z.strictObject({ service: serviceNameSchema });
export type AbortRolloutInput = z.infer<typeof abortRolloutInputSchema>;
