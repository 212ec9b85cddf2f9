/**
 * In-memory network for tests that can lose, delay, duplicate and hold back datagrams, controlled by a seed and a
 * manual clock.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { formatEndpoint, type DatagramTransport, type Endpoint, type ReceiveDatagram } from "../transport.js";

/** Number of datagrams buffered for a frozen node, like in a socket buffer. Further datagrams are lost. */
const FROZEN_BUFFER_DATAGRAMS = 300;

/** Behaviour of the network for datagrams from one node to another. */
export interface LinkBehaviour {
    /** Fraction of datagrams that are lost; 1 disconnects this direction. */
    readonly loss: number;
    /** Fraction of datagrams that are delivered twice. */
    readonly duplication: number;
    readonly minimumDelayMs: Milliseconds;
    readonly maximumDelayMs: Milliseconds;
}

export type GetLinkBehaviour = (from: Endpoint, to: Endpoint) => LinkBehaviour;

/** Delivers each datagram once, after one millisecond. */
export const perfectLink: LinkBehaviour = { loss: 0, duplication: 0, minimumDelayMs: 1, maximumDelayMs: 1 };

/** Network that is shared by all nodes of a test. */
export interface MemoryNetwork {
    readonly createTransport: (endpoint: Endpoint) => DatagramTransport;
    /** Replaces the behaviour of all links for datagrams sent from now on. */
    readonly setLinks: (getLinkBehaviour: GetLinkBehaviour) => void;
    /** Buffers the datagrams to an endpoint until `resume` is called. */
    readonly freeze: (endpoint: Endpoint) => void;
    readonly resume: (endpoint: Endpoint) => void;
    /** Delivers a payload to an endpoint with a given source endpoint. */
    readonly inject: (from: Endpoint, to: Endpoint, payload: Uint8Array) => void;
}

interface Delivery {
    readonly from: Endpoint;
    readonly to: Endpoint;
    readonly payload: Uint8Array;
}

/** Creates a network that is deterministic with a seeded `random` and a manual clock. */
export const createMemoryNetwork = (clock: Clock, random: Random): MemoryNetwork => {
    const receivers = new Map<string, ReceiveDatagram>();
    const frozenBuffers = new Map<string, Delivery[]>();
    /** Pending deliveries by due time. There is one timer per time, regardless of the number of datagrams. */
    const deliveriesByTime = new Map<Milliseconds, Delivery[]>();
    let getLinkBehaviour: GetLinkBehaviour = () => perfectLink;

    const deliver = (delivery: Delivery): void => {
        const key = formatEndpoint(delivery.to);
        const buffered = frozenBuffers.get(key);
        if (buffered === undefined) {
            receivers.get(key)?.(delivery.payload, delivery.from);
        }
        else if (buffered.length < FROZEN_BUFFER_DATAGRAMS) {
            buffered.push(delivery);
        }
    };

    const deliverAt = (time: Milliseconds, delivery: Delivery): void => {
        const scheduled = deliveriesByTime.get(time);
        if (scheduled !== undefined) {
            scheduled.push(delivery);
            return;
        }
        deliveriesByTime.set(time, [delivery]);
        clock.after(time - clock.monotonic(), () => {
            const deliveries = deliveriesByTime.get(time) ?? [];
            deliveriesByTime.delete(time);
            deliveries.forEach(deliver);
        });
    };

    const send = (delivery: Delivery): void => {
        const link = getLinkBehaviour(delivery.from, delivery.to);
        if (random() < link.loss) {
            return;
        }
        const copies = random() < link.duplication ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const delay = link.minimumDelayMs + random() * (link.maximumDelayMs - link.minimumDelayMs);
            deliverAt(Math.ceil(clock.monotonic() + delay), delivery);
        }
    };

    return {
        createTransport: (endpoint) => ({
            open: (receive, signal) => async () => {
                const key = formatEndpoint(endpoint);
                receivers.set(key, receive);
                signal.addEventListener("abort", () => {
                    if (receivers.get(key) === receive) {
                        receivers.delete(key);
                    }
                }, { once: true });
                return either.right(endpoint);
            },
            send: (to, payload) => {
                if (receivers.has(formatEndpoint(endpoint))) {
                    send({ from: endpoint, to, payload });
                }
            },
        }),
        setLinks: (getBehaviour) => {
            getLinkBehaviour = getBehaviour;
        },
        freeze: (endpoint) => {
            frozenBuffers.set(formatEndpoint(endpoint), []);
        },
        resume: (endpoint) => {
            const buffered = frozenBuffers.get(formatEndpoint(endpoint)) ?? [];
            frozenBuffers.delete(formatEndpoint(endpoint));
            buffered.forEach(deliver);
        },
        inject: (from, to, payload) => {
            deliver({ from, to, payload });
        },
    };
};
