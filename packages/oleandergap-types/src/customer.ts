/**
 * Customers of a partner: the parties whose callers send requests. A table without customers serves every caller, and
 * its requests belong to nobody.
 */
import { z } from "zod";
import { MAX_NAME_LENGTH, partnerNameSchema } from "./names.js";

/** Name of a customer, unique within its partner. Targets receive it with each request of the customer. */
export const customerNameSchema = z
    .string()
    .max(MAX_NAME_LENGTH)
    .regex(/^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?$/, "use letters, digits and inner hyphens, for example \"north-bank\"");
export type CustomerName = z.infer<typeof customerNameSchema>;

/** Identifies a customer across all partners. */
export const customerReferenceSchema = z.strictObject({ partner: partnerNameSchema, customer: customerNameSchema });
export type CustomerReference = z.infer<typeof customerReferenceSchema>;

/** Returns `partner/customer`, the text by which state of a customer is found. */
export const formatCustomerReference = ({ partner, customer }: CustomerReference): string => `${partner}/${customer}`;

/** Digest of a caller's key: SHA-256 in hexadecimal digits. Documents hold digests only, never the keys. */
export const keyDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, "use the SHA-256 digest of the key in hexadecimal");
export type KeyDigest = z.infer<typeof keyDigestSchema>;

/** Highest rate and burst of a quota. */
export const MAX_QUOTA = 1_000_000_000;
/** Least urgent priority of a customer. */
export const MAX_CUSTOMER_PRIORITY = 1000;

/** The cells of a customer with a fixed name. Each key is stored in a cell of its own. */
export const customerCellsSchema = z.object({
    /** Precedes the priority of the route; 0 is the most urgent. */
    priority: z.number().int().min(0).max(MAX_CUSTOMER_PRIORITY),
    /** Requests per second that all nodes together accept from the customer; 0 means no limit. */
    ratePerSecond: z.number().min(0).max(MAX_QUOTA),
    /** Requests beyond the rate that may be sent at once after a pause. */
    burst: z.number().min(0).max(MAX_QUOTA),
});

/** Quota of a customer over all nodes together. */
export interface CustomerQuota {
    /** Greater than 0. */
    readonly ratePerSecond: number;
    /** Requests beyond the rate that may be sent at once after a pause. */
    readonly burst: number;
}

/** Customer as a version of the table describes it, without its keys. */
export interface Customer {
    readonly name: CustomerName;
    readonly priority: number;
    /** Undefined if the customer may send any number of requests. */
    readonly quota: CustomerQuota | undefined;
}

/** The customers of one version of a partner's table. */
export interface CustomerDirectory {
    readonly byName: ReadonlyMap<CustomerName, Customer>;
    readonly byKeyDigest: ReadonlyMap<KeyDigest, Customer>;
}
