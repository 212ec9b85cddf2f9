/** The datagrams by which nodes hand versions to each other. */
import { headSchema, type Head } from "oleandergap-types";
import { z } from "zod";
import { compactDeltaSchema } from "./compactDelta.js";
import { contactSchema } from "./peerSchemas.js";
import { scoreRangeSchema } from "./scoreRange.js";

/** Members of the own zone that the receiver is to pass the version on to; absent when it came from another zone. */
const rangeField = scoreRangeSchema.optional();

/** A version that is handed over, or the acknowledgement of one. */
export const spreadMessageSchema = z.discriminatedUnion("kind", [
    /** A version as the step from the one before it. */
    z.strictObject({ kind: z.literal("Step"), delta: compactDeltaSchema, range: rangeField }),
    /** A version that is to be pulled from the sender, because its step does not fit into a datagram. */
    z.strictObject({
        kind: z.literal("Offer"),
        head: headSchema,
        range: rangeField,
        /** A member with a wider link than the sender's that holds the version, and is to be asked first. */
        holder: contactSchema.optional(),
    }),
    /**
     * Acknowledges the two above: the sender has this version or a higher one in force and has taken over the range.
     */
    z.strictObject({ kind: z.literal("Holding"), ...headSchema.pick({ partner: true, sequence: true }).shape }),
]);
/** See {@link spreadMessageSchema}. */
export type SpreadMessage = z.infer<typeof spreadMessageSchema>;

/** A message that hands a version over. */
export type HandoverMessage = Exclude<SpreadMessage, { readonly kind: "Holding" }>;

/** The version that a message hands over. */
export const readHead = (message: HandoverMessage): Head => {
    const { partner, sequence, digest } = message.kind === "Step" ? message.delta : message.head;
    return { partner, sequence, digest };
};
