/** Names of partners, services, availability zones and nodes, and their common format. */
import { z } from "zod";

/** Maximum length of a name in characters. Names are short because every datagram contains them. */
export const MAX_NAME_LENGTH = 48;

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/;

const nameSchema = z
    .string()
    .max(MAX_NAME_LENGTH)
    .regex(NAME_PATTERN, "use lower-case letters, digits and inner hyphens, for example \"grant-filer\"");

/** First part of the names of everything that a partner owns. */
export const partnerNameSchema = nameSchema;
/** Unique within its partner. */
export const serviceNameSchema = nameSchema;
/** Unique within the whole system. */
export const zoneNameSchema = nameSchema;
/** Unique within the whole system. */
export const nodeIdSchema = nameSchema;

/** One of the organisations that share the capacity, for example `halloway`. */
export type PartnerName = z.infer<typeof partnerNameSchema>;
/** A row of a partner's table, for example `grant-filer`. */
export type ServiceName = z.infer<typeof serviceNameSchema>;
/** An availability zone, for example `hall-a`. */
export type ZoneName = z.infer<typeof zoneNameSchema>;
/** Identifies a node for the lifetime of its VM; a restarted process keeps the id. */
export type NodeId = z.infer<typeof nodeIdSchema>;

/** Identifies a service across all partners. */
export const serviceReferenceSchema = z.strictObject({
    partner: partnerNameSchema,
    service: serviceNameSchema,
});

/** A service together with the partner that owns its row. */
export type ServiceReference = z.infer<typeof serviceReferenceSchema>;

/** Returns `partner/service`, the key of per-service state. */
export const formatServiceReference = (reference: ServiceReference): string =>
    `${reference.partner}/${reference.service}`;
