/**
 * Schemas of the requests and responses between nodes. Both sides validate what they receive. The membership package
 * defines the messages about targets; see `zoneTargetsRequestSchema`.
 */
import {
    deltaSchema,
    documentSchema,
    headSchema,
    memberSchema,
    nodeIdSchema,
    partnerNameSchema,
    sequenceSchema,
} from "oleandergap-types";
import { z } from "zod";

/** Maximum number of partners in one response. */
const MAX_PARTNERS = 16;
/** Maximum number of contacts in one response. */
export const MAX_CONTACTS = 64;
/** Maximum number of deltas in one response. A node that lacks more deltas receives the whole document. */
export const MAX_DELTAS_PER_RESPONSE = 256;

/** Response of `ping`: whether the node has recovered, and how recently the platform responded. */
export const pingResponseSchema = z.strictObject({
    id: nodeIdSchema,
    ready: z.boolean(),
    /** Time since the last platform response known to the responding node; absent if there was none. */
    platformAgeMs: z.number().nonnegative().optional(),
});
/** See {@link pingResponseSchema}. */
export type PingResponse = z.infer<typeof pingResponseSchema>;

/** Response of `heads`: the versions in force. */
export const headsResponseSchema = z.strictObject({
    /** Whether the responding node has recovered, so that its heads reflect the versions known to the fleet. */
    ready: z.boolean(),
    heads: z.array(headSchema).max(MAX_PARTNERS),
});
/** See {@link headsResponseSchema}. */
export type HeadsResponse = z.infer<typeof headsResponseSchema>;

/** Request of `deltasSince`: a partner, and the version that the requesting node holds. */
export const deltasQuerySchema = z.strictObject({ partner: partnerNameSchema, sequence: sequenceSchema });

/** Request of `document`: the partner whose document is requested. */
export const documentQuerySchema = z.strictObject({ partner: partnerNameSchema });

/**
 * Response of `deltasSince`: the requested deltas, or the whole document. The list of deltas is empty if the responding
 * node holds no newer version.
 */
export const versionResponseSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Deltas"), deltas: z.array(deltaSchema).max(MAX_DELTAS_PER_RESPONSE) }),
    z.strictObject({ kind: z.literal("Document"), document: documentSchema }),
]);
/** See {@link versionResponseSchema}. */
export type VersionResponse = z.infer<typeof versionResponseSchema>;

/** Identity and network address of another node. */
export const contactSchema = memberSchema.pick({ id: true, zone: true, address: true, controlPort: true });

/** Response of `contacts`: nodes of the local availability zone and of other availability zones. */
export const contactsResponseSchema = z.strictObject({ contacts: z.array(contactSchema).max(MAX_CONTACTS) });
/** See {@link contactsResponseSchema}. */
export type ContactsResponse = z.infer<typeof contactsResponseSchema>;
