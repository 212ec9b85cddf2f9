/** Identities of operators. */
import { partnerNameSchema, MAX_NAME_LENGTH } from "oleandergap-types";
import { z } from "zod";

/** Name of an operator in the audit trail, for example `jordan` or `m.sato`. */
export const operatorNameSchema = z
    .string()
    .max(MAX_NAME_LENGTH)
    .regex(/^[A-Za-z0-9]([A-Za-z0-9._@-]*[A-Za-z0-9])?$/, "use letters, digits and inner . _ @ -");

/** Value of the platform's table row for a credential: the identity that the credential authenticates. */
export const operatorIdentitySchema = z.object({
    partner: partnerNameSchema,
    operator: operatorNameSchema,
});
export type OperatorIdentity = z.infer<typeof operatorIdentitySchema>;
