/** Shares the control port between the datagrams of the distribution and those of the membership. */
import {
    createMessageTransport,
    type DatagramTransport,
    type MessageTransport,
    type MessageTransportStatistics,
    type ReceiveMessage,
} from "oleandergap-membership";
import type { Member } from "oleandergap-types";
import { spreadMessageSchema, type SpreadMessage } from "./spreadMessage.js";

/** First byte of each datagram of the distribution. */
const SPREAD_MARK = 0xc1;

/** See `ReceiveMessage`. */
export type ReceiveSpreadMessage = ReceiveMessage<SpreadMessage>;

/** See `MessageTransportStatistics`. */
export type SpreadTransportStatistics = MessageTransportStatistics;

/** Datagram transport that the messages of the distribution share with the membership. */
export type SpreadTransport = MessageTransport<SpreadMessage>;

/** Dependencies of the transport; `self` is the sender named in outgoing messages. */
export interface SpreadTransportDependencies {
    readonly transport: DatagramTransport;
    readonly self: Pick<Member, "id" | "zone">;
}

/** Wraps a datagram transport so that it also carries messages of the distribution. */
export const createSpreadTransport = (dependencies: SpreadTransportDependencies): SpreadTransport =>
    createMessageTransport({ ...dependencies, markerByte: SPREAD_MARK, schema: spreadMessageSchema });
