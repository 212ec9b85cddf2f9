/** The messages with which nodes store departures at other nodes. Each is small enough for one datagram. */
import { z } from "zod";
import { departureSchema } from "./departure.js";

/** Maximum number of departures of a node that another node holds; the oldest one is dropped first. */
export const MAX_HELD = 4;

const idSchema = z.number().int().nonnegative();

export const departureMessageSchema = z.discriminatedUnion("kind", [
    /** Asks the receiver to hold a departure of the sender's target. */
    z.strictObject({ kind: z.literal("Hold"), id: idSchema, departure: departureSchema }),
    /** Asks for the departures that the receiver holds for the sender. */
    z.strictObject({ kind: z.literal("Ask"), id: idSchema }),
    /** Answers both, with the departures that are held now. */
    z.strictObject({ kind: z.literal("Held"), id: idSchema, departures: z.array(departureSchema).max(MAX_HELD) }),
]);
/** See {@link departureMessageSchema}. */
export type DepartureMessage = z.infer<typeof departureMessageSchema>;
/** A message that is answered with `Held`. */
export type DepartureRequest = Exclude<DepartureMessage, { readonly kind: "Held" }>;
