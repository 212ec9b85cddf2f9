/**
 * Lets the messages of another part share the control port with the membership's datagrams. What is left of the wrapped
 * transport goes on to the next part, and at last to the membership, which never sees a foreign message.
 */
import { nodeIdSchema, zoneNameSchema, type Member } from "oleandergap-types";
import { z } from "zod";
import { packText, unpackText } from "./datagramText.js";
import type { Contact } from "./membershipTypes.js";
import type { DatagramTransport, Endpoint } from "./transport.js";

/** Takes a message; the sender is known by what its datagram says and by the address that it came from. */
export type ReceiveMessage<Message> = (from: Contact, message: Message) => void;

/** Counts since the transport was created; sizes without the headers of UDP and IP. */
export interface MessageTransportStatistics {
    readonly messagesSent: number;
    readonly bytesSent: number;
    readonly messagesReceived: number;
    readonly bytesReceived: number;
    /** Marked datagrams that held no valid message. */
    readonly dropped: number;
}

/** A datagram transport that the messages of one part share with others. */
export interface MessageTransport<Message> {
    /** To be given to the next part in place of the transport. */
    readonly others: DatagramTransport;
    /** Sends without any promise that the message arrives. */
    readonly send: (to: Pick<Contact, "address" | "controlPort">, message: Message) => void;
    /** Hands over each message that arrives; a later listener replaces the one before. */
    readonly onMessage: (listener: ReceiveMessage<Message>) => void;
    readonly stats: () => MessageTransportStatistics;
}

/** What a transport of messages is made from. */
export interface MessageTransportDependencies<Message> {
    readonly transport: DatagramTransport;
    /** The sender that outgoing messages name. */
    readonly self: Pick<Member, "id" | "zone">;
    /** First byte of the part's datagrams, 0xc0 or 0xc1: the membership's, MessagePack arrays, never begin with one. */
    readonly mark: number;
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

/** Wraps a transport. */
export const createMessageTransport = <Message>(
    { transport, self, mark, schema }: MessageTransportDependencies<Message>,
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
        others: {
            open: (receive, signal) => transport.open((payload, from) => {
                if (payload[0] === mark) {
                    receiveDatagram(payload, from);
                    return;
                }
                receive(payload, from);
            }, signal),
            send: transport.send,
        },
        send: (to, message) => {
            const { id, zone } = self;
            const payload = Buffer.concat([Buffer.of(mark), packText(JSON.stringify({ id, zone, message }))]);
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
