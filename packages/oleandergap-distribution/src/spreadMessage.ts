/** Datagrams with which nodes hand over versions to each other. */
import { headSchema, type Head } from "oleandergap-types";
import { z } from "zod";
import { compactDeltaSchema } from "./compactDelta.js";
import { contactSchema } from "./peerSchemas.js";
import { scoreRangeSchema } from "./scoreRange.js";

/** Members of the local zone to which the receiver forwards the version; absent if the sender is in another zone. */
const rangeField = scoreRangeSchema.optional();

/** A handover of a version, or the acknowledgement of a handover. */
export const spreadMessageSchema = z.discriminatedUnion("kind", [
    /** Hands over a version as the delta from the previous version. */
    z.strictObject({ kind: z.literal("Step"), delta: compactDeltaSchema, range: rangeField }),
    /** Offers a version that the receiver pulls from the sender, because the delta does not fit into a datagram. */
    z.strictObject({
        kind: z.literal("Offer"),
        head: headSchema,
        range: rangeField,
        /** A member that holds the version and has a wider link than the sender. The receiver pulls from it first. */
        holder: contactSchema.optional(),
    }),
    /**
     * Acknowledges a handover: the sender has this version or a higher one in force and has taken over forwarding it to
     * the range.
     */
    z.strictObject({ kind: z.literal("Holding"), ...headSchema.pick({ partner: true, sequence: true }).shape }),
]);
/** See {@link spreadMessageSchema}. */
export type SpreadMessage = z.infer<typeof spreadMessageSchema>;

/** A message that hands over a version. */
export type HandoverMessage = Exclude<SpreadMessage, { readonly kind: "Holding" }>;

/** Returns the head of the version that a message hands over. */
export const readHead = (message: HandoverMessage): Head => {
    const { partner, sequence, digest } = message.kind === "Step" ? message.delta : message.head;
    return { partner, sequence, digest };
};
