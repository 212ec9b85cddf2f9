/**
 * Decides which datagrams contain the configuration heads.
 *
 * Every datagram contains a hash of the sender's heads (5 bytes). The heads themselves (about 45 bytes each) are added
 * only to the reply to a datagram with a different hash, and are sent back if that reply contains lower heads. Nodes
 * with equal heads therefore only pay for the hash, and nodes with different heads detect the difference with any
 * exchange, no matter which of them started it.
 */
import type { Head } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import type { HeadPiggyback, ReceiveHeads, Unsubscribe } from "./membershipTypes.js";

export interface HeadExchange {
    /** Returns the hash of the heads that are active on this node. */
    readonly hash: () => number;
    readonly current: () => readonly Head[];
    readonly receive: ReceiveHeads;
    readonly subscribe: (listener: ReceiveHeads) => Unsubscribe;
}

const compareHeads = (left: Head, right: Head): number => left.partner < right.partner ? -1 : 1;

const formatHead = (head: Head): string => `${head.partner} ${String(head.sequence)} ${head.digest}`;

/** Creates the head exchange. `piggyback.receiveHeads`, if present, is called before the subscribed listeners. */
export const createHeadExchange = (piggyback: HeadPiggyback): HeadExchange => {
    const listeners = new Set<ReceiveHeads>();
    if (piggyback.receiveHeads !== undefined) {
        listeners.add(piggyback.receiveHeads);
    }
    return {
        hash: () => hashText([...piggyback.heads()].sort(compareHeads).map(formatHead).join()),
        current: piggyback.heads,
        receive: (from, heads) => {
            for (const listener of listeners) {
                listener(from, heads);
            }
        },
        subscribe: (listener) => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
