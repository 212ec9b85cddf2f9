/** Sends pings on behalf of other members and forwards the responses to them. */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { MemberTable } from "./memberTable.js";
import type { Messenger } from "./messenger.js";
import type { Endpoint } from "./transport.js";

/** Lifetime of a relayed ping, as a multiple of the ack timeout. */
const RELAY_LIFETIME_TIMEOUTS = 4;

interface RelayedPing {
    readonly targetId: NodeId;
    readonly requester: Endpoint;
    readonly requesterSequence: number;
    readonly nackAt: Milliseconds;
    readonly expiresAt: Milliseconds;
    isNackSent: boolean;
}

export interface Relays {
    /** Registers a relayed ping. The response to the ping `sequence` is forwarded to `requester`. */
    readonly add: (sequence: number, targetId: NodeId, requester: Endpoint, requesterSequence: number) => void;
    /** Forwards a response to the requester. Returns whether the response belongs to a relayed ping. */
    readonly forwardAck: (sequence: number) => boolean;
    /** Sends a `Nack` to requesters whose target has not responded, to show that this node itself is reachable. */
    readonly poll: () => void;
    readonly clear: () => void;
}

export interface RelayDependencies {
    readonly clock: Clock;
    readonly table: MemberTable;
    readonly messenger: Messenger;
    readonly ackTimeoutMs: Milliseconds;
}

/** Creates the relays. Their number is limited by the pings that other members request within four ack timeouts. */
export const createRelays = ({ clock, table, messenger, ackTimeoutMs }: RelayDependencies): Relays => {
    const relays = new Map<number, RelayedPing>();

    const poll = (): void => {
        const now = clock.monotonic();
        for (const [sequence, relay] of relays) {
            if (now >= relay.expiresAt) {
                relays.delete(sequence);
            }
            else if (now >= relay.nackAt && !relay.isNackSent) {
                relay.isNackSent = true;
                messenger.send(relay.requester, { kind: "Nack", sequence: relay.requesterSequence });
            }
        }
    };

    return {
        add: (sequence, targetId, requester, requesterSequence) => {
            const now = clock.monotonic();
            relays.set(sequence, {
                targetId,
                requester,
                requesterSequence,
                nackAt: now + ackTimeoutMs,
                expiresAt: now + RELAY_LIFETIME_TIMEOUTS * ackTimeoutMs,
                isNackSent: false,
            });
        },
        forwardAck: (sequence) => {
            const relay = relays.get(sequence);
            if (relay === undefined) {
                return false;
            }
            relays.delete(sequence);
            // The requester may still hold the suspicion that the target has refuted in its response.
            const target = table.get(relay.targetId);
            const piggybacked = target === undefined ? {} : { records: [target] };
            messenger.send(relay.requester, { kind: "Ack", sequence: relay.requesterSequence }, piggybacked);
            return true;
        },
        poll,
        clear: () => {
            relays.clear();
        },
    };
};
