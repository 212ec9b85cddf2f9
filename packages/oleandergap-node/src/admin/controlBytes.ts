/** Converts the byte counts of a node's control traffic with other nodes to gauge readings. */
import type { MembershipStats } from "oleandergap-membership";
import type { GaugeReading } from "./metrics.js";

/** Size of the IPv4 and UDP headers of a datagram, which the counts of the membership do not include. */
const DATAGRAM_HEADER_BYTES = 28;

export type ByteDirection = "sent" | "received";

export const readDatagramBytes = ({ traffic }: Pick<MembershipStats, "traffic">): readonly GaugeReading[] => {
    const kinds = Object.values(traffic);
    const sent = kinds.reduce((sum, kind) => sum + kind.sentBytes + kind.sentDatagrams * DATAGRAM_HEADER_BYTES, 0);
    const received = kinds.reduce(
        (sum, kind) => sum + kind.receivedBytes + kind.receivedDatagrams * DATAGRAM_HEADER_BYTES,
        0,
    );
    return readDirections("membership", sent, received);
};

/** Returns one reading per direction. `channel` is the name of the part whose messages are counted. */
export const readDirections = (channel: string, sent: number, received: number): readonly GaugeReading[] => [
    { labels: { channel, direction: "sent" satisfies ByteDirection }, value: sent },
    { labels: { channel, direction: "received" satisfies ByteDirection }, value: received },
];
