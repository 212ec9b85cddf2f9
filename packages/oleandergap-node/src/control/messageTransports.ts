/** The datagrams of the components that share the control port with the membership. */
import { evidenceMessageSchema, type EvidenceMessage } from "oleandergap-containment";
import { quotaMessageSchema, type QuotaMessage } from "oleandergap-customers";
import { createMessageTransport, type DatagramTransport, type MessageTransport } from "oleandergap-membership";
import { rolloutMessageSchema, type RolloutMessage } from "oleandergap-rollout";
import type { Member } from "oleandergap-types";
import { departureMessageSchema, type DepartureMessage } from "../departures/departureMessages.js";

/** First byte of datagrams with crash evidence. */
const EVIDENCE_MARK = 0xc0;
/** First byte of datagrams about roll-outs. */
const ROLLOUT_MARK = 0xc2;
/** First byte of datagrams about quotas. */
const QUOTA_MARK = 0xc4;
/** First byte of datagrams about departures of targets. */
const DEPARTURE_MARK = 0xc6;

/** One transport for each component. */
export interface MessageTransports {
    readonly evidenceTransport: MessageTransport<EvidenceMessage>;
    readonly rolloutTransport: MessageTransport<RolloutMessage>;
    readonly quotaTransport: MessageTransport<QuotaMessage>;
    readonly departureTransport: MessageTransport<DepartureMessage>;
    /** Transport for all other datagrams. */
    readonly remainingTransport: DatagramTransport;
}

/** Creates the transports of the node `self`. */
export const createMessageTransports = (
    transport: DatagramTransport,
    self: Pick<Member, "id" | "zone">,
): MessageTransports => {
    const evidenceTransport = createMessageTransport({
        transport,
        self,
        markerByte: EVIDENCE_MARK,
        schema: evidenceMessageSchema,
    });
    const rolloutTransport = createMessageTransport({
        transport: evidenceTransport.remainingTransport,
        self,
        markerByte: ROLLOUT_MARK,
        schema: rolloutMessageSchema,
    });
    const quotaTransport = createMessageTransport({
        transport: rolloutTransport.remainingTransport,
        self,
        markerByte: QUOTA_MARK,
        schema: quotaMessageSchema,
    });
    const departureTransport = createMessageTransport({
        transport: quotaTransport.remainingTransport,
        self,
        markerByte: DEPARTURE_MARK,
        schema: departureMessageSchema,
    });
    return {
        evidenceTransport,
        rolloutTransport,
        quotaTransport,
        departureTransport,
        remainingTransport: departureTransport.remainingTransport,
    };
};
