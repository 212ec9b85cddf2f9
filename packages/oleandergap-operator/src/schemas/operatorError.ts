/** Errors of operators' requests, in the format in which nodes send them to the client. */
import { cellAddressSchema, cellValueSchema } from "oleandergap-types";
import { z } from "zod";

/** Cell whose value differed from the value that the change expected. An absent value means an empty cell. */
const cellConflictSchema = z.object({
    cell: cellAddressSchema,
    expected: cellValueSchema.optional(),
    found: cellValueSchema.optional(),
    proposed: cellValueSchema.optional(),
});
export type CellConflictView = z.infer<typeof cellConflictSchema>;

/** One reason why the resulting table would be rejected. `cell` is empty when the reason is not about a single cell. */
const tableProblemSchema = z.object({ cell: z.string(), problem: z.string() });
export type TableProblemView = z.infer<typeof tableProblemSchema>;

/** One invalid part of the input of a request. */
const inputIssueSchema = z.object({ path: z.string(), problem: z.string() });
export type InputIssue = z.infer<typeof inputIssueSchema>;

/** Failed attempt at one node. */
const failedAttemptSchema = z.object({ node: z.string(), detail: z.string() });
export type FailedAttempt = z.infer<typeof failedAttemptSchema>;

/** All errors, as a union discriminated by `kind`. */
export const operatorErrorSchema = z.discriminatedUnion("kind", [
    /** The credential is missing, malformed, unknown or revoked. The response does not reveal which. */
    z.object({ kind: z.literal("Unauthenticated") }),
    /** The credential is valid but does not permit the request. */
    z.object({ kind: z.literal("Forbidden"), detail: z.string() }),
    /** The request is malformed. Repeating it cannot succeed. */
    z.object({ kind: z.literal("BadRequest"), issues: z.array(inputIssueSchema) }),
    z.object({ kind: z.literal("NotFound"), detail: z.string() }),
    /** A cell has a different value than the change expects. Nothing was written. */
    z.object({ kind: z.literal("Conflict"), conflicts: z.array(cellConflictSchema) }),
    /** Every node would reject the resulting table. Nothing was written. */
    z.object({ kind: z.literal("Invalid"), problems: z.array(tableProblemSchema) }),
    /** The change id has already been used for a different change. This request wrote nothing. */
    z.object({ kind: z.literal("ChangeIdReused"), changeId: z.string() }),
    /** The change may or may not have been accepted. Repeating it with the same id returns its single outcome. */
    z.object({ kind: z.literal("OutcomeUnknown"), changeId: z.string(), detail: z.string() }),
    /** The platform could not be reached. Nothing was written. */
    z.object({ kind: z.literal("PlatformUnavailable"), detail: z.string() }),
    z.object({ kind: z.literal("OverBudget"), retryAfterMs: z.number().nonnegative() }),
    /** Each attempt failed because of a concurrent change of the same partner. Nothing was written. */
    z.object({ kind: z.literal("Contended"), retryAfterMs: z.number().nonnegative() }),
    /** The rows at the platform are inconsistent and need manual inspection. Nothing was written. */
    z.object({ kind: z.literal("Damaged"), detail: z.string() }),
    /** The node has not recovered its configuration yet. Another node may be ready. */
    z.object({ kind: z.literal("NotReady"), detail: z.string() }),
    /** A node that the request needs did not respond, or its response could not be parsed. */
    z.object({ kind: z.literal("NodeUnreachable"), attempts: z.array(failedAttemptSchema) }),
    /** An unexpected error in the node. The node's log has the details. */
    z.object({ kind: z.literal("Internal"), detail: z.string() }),
]);
export type OperatorError = z.infer<typeof operatorErrorSchema>;

/** HTTP status for a rejected credential. */
export const UNAUTHORIZED_STATUS = 401;
/** HTTP status for too many requests. The `retry-after` header gives the time until a retry. */
export const OVER_BUDGET_STATUS = 429;
/** HTTP status for a credential that could not be checked. */
export const UNAVAILABLE_STATUS = 503;
