/**
 * Lets the messages of another component share the control port with the datagrams of the membership. All other
 * datagrams of the wrapped transport are passed on to the next component and finally to the membership, which never
 * receives messages of other components.
 */
import { nodeIdSchema, zoneNameSchema, type Member } from "oleandergap-types";
import { z } from "zod";
import { packText, unpackText } from "./datagramText.js";
import type { Contact } from "./membershipTypes.js";
import type { DatagramTransport, Endpoint } from "./transport.js";

/** Receives a message. The sender is identified by the id and zone in the datagram and by its source address. */
export type ReceiveMessage<Message> = (from: Contact, message: Message) => void;

/** Counters since the transport was created. Sizes do not include the UDP and IP headers. */
export interface MessageTransportStatistics {
    readonly messagesSent: number;
    readonly bytesSent: number;
    readonly messagesReceived: number;
    readonly bytesReceived: number;
    /** Number of datagrams that have the marker byte but no valid message. */
    readonly dropped: number;
}

/** Datagram transport for the messages of one component, shared with other components. */
export interface MessageTransport<Message> {
    /** Transport for all other datagrams, to be passed to the next component. */
    readonly remainingTransport: DatagramTransport;
    /** Sends a message without a delivery guarantee. */
    readonly send: (to: Pick<Contact, "address" | "controlPort">, message: Message) => void;
    /** Sets the listener that receives each arriving message. A new listener replaces the previous one. */
    readonly onMessage: (listener: ReceiveMessage<Message>) => void;
    readonly stats: () => MessageTransportStatistics;
}

/** Dependencies of a message transport. */
export interface MessageTransportDependencies<Message> {
    readonly transport: DatagramTransport;
    /** Sender that is named in outgoing messages. */
    readonly self: Pick<Member, "id" | "zone">;
    /**
     * First byte of the component's datagrams, from 0xc0 to 0xc6. Membership datagrams are MessagePack arrays, which
     * never start with one of these bytes.
     */
    readonly markerByte: number;
    readonly schema: z.ZodType<Message>;
}

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

/** Creates a message transport that wraps a datagram transport. */
export const createMessageTransport = <Message>(
    { transport, self, markerByte, schema }: MessageTransportDependencies<Message>,
): MessageTransport<Message> => {
    const datagramSchema = z.strictObject({ id: nodeIdSchema, zone: zoneNameSchema, message: schema });
    const counts = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0, dropped: 0 };
    let listener: ReceiveMessage<Message> = () => undefined;

    const receiveDatagram = (payload: Uint8Array, from: Endpoint): void => {
        counts.bytesReceived += payload.byteLength;
        const text = unpackText(payload.subarray(1));
        const datagram = text === undefined ? undefined : datagramSchema.safeParse(parseJson(text)).data;
        if (datagram === undefined) {
            counts.dropped += 1;
            return;
        }
        counts.messagesReceived += 1;
        const { id, zone, message } = datagram;
        listener({ id, zone, address: from.address, controlPort: from.port }, message);
    };

    return {
        remainingTransport: {
            open: (receive, signal) => transport.open((payload, from) => {
                if (payload[0] === markerByte) {
                    receiveDatagram(payload, from);
                    return;
                }
                receive(payload, from);
            }, signal),
            send: transport.send,
        },
        send: (to, message) => {
            const { id, zone } = self;
            const payload = Buffer.concat([Buffer.of(markerByte), packText(JSON.stringify({ id, zone, message }))]);
            counts.messagesSent += 1;
            counts.bytesSent += payload.byteLength;
            transport.send({ address: to.address, port: to.controlPort }, payload);
        },
        onMessage: (next) => {
            listener = next;
        },
        stats: () => ({ ...counts }),
    };
};
