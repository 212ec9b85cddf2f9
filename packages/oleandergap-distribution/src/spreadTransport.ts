/** Lets versions share the control port with the membership's datagrams. */
import {
    createMessageTransport,
    type DatagramTransport,
    type MessageTransport,
    type MessageTransportStatistics,
    type ReceiveMessage,
} from "oleandergap-membership";
import type { Member } from "oleandergap-types";
import { spreadMessageSchema, type SpreadMessage } from "./spreadMessage.js";

/** First byte of a datagram of the spread. */
const SPREAD_MARK = 0xc1;

/** See `ReceiveMessage`. */
export type ReceiveSpreadMessage = ReceiveMessage<SpreadMessage>;

/** See `MessageTransportStatistics`. */
export type SpreadTransportStatistics = MessageTransportStatistics;

/** A datagram transport that messages of the spread share with the membership. */
export type SpreadTransport = MessageTransport<SpreadMessage>;

/** The transport to share, and the sender that outgoing messages name. */
export interface SpreadTransportDependencies {
    readonly transport: DatagramTransport;
    readonly self: Pick<Member, "id" | "zone">;
}

/** Wraps a transport. */
export const createSpreadTransport = (dependencies: SpreadTransportDependencies): SpreadTransport =>
    createMessageTransport({ ...dependencies, markerByte: SPREAD_MARK, schema: spreadMessageSchema });
