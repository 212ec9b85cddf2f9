/** A network in memory for tests: loses, delays, duplicates, cuts and freezes by a seed and a clock moved by hand. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { formatEndpoint, type DatagramTransport, type Endpoint, type ReceiveDatagram } from "../transport.js";

/** Datagrams that wait at a frozen node, as a socket buffer would hold them; further ones are lost. */
const FROZEN_BUFFER_DATAGRAMS = 300;

/** What happens to the datagrams of one direction of one pair of nodes. */
export interface LinkBehaviour {
    /** Share of datagrams that are lost; 1 cuts the direction. */
    readonly loss: number;
    /** Share of datagrams that arrive twice. */
    readonly duplication: number;
    readonly minimumDelayMs: Milliseconds;
    readonly maximumDelayMs: Milliseconds;
}

export type DescribeLink = (from: Endpoint, to: Endpoint) => LinkBehaviour;

/** Delivers everything once, after a millisecond. */
export const perfectLink: LinkBehaviour = { loss: 0, duplication: 0, minimumDelayMs: 1, maximumDelayMs: 1 };

/** All nodes of a test share one. */
export interface MemoryNetwork {
    readonly createTransport: (endpoint: Endpoint) => DatagramTransport;
    /** Replaces the behaviour of all links from now on. */
    readonly setLinks: (describeLink: DescribeLink) => void;
    /** Holds the datagrams to an endpoint back, until `thaw`. */
    readonly freeze: (endpoint: Endpoint) => void;
    readonly thaw: (endpoint: Endpoint) => void;
    /** Hands a payload to an endpoint as if it had come from another one. */
    readonly inject: (from: Endpoint, to: Endpoint, payload: Uint8Array) => void;
}

interface Delivery {
    readonly from: Endpoint;
    readonly to: Endpoint;
    readonly payload: Uint8Array;
}

/** Deterministic for a seeded `random` and a clock moved by hand. */
export const createMemoryNetwork = (clock: Clock, random: Random): MemoryNetwork => {
    const receivers = new Map<string, ReceiveDatagram>();
    const frozenBuffers = new Map<string, Delivery[]>();
    /** Deliveries by the time at which they are due: one timer per time, however many datagrams. */
    const deliveriesByTime = new Map<Milliseconds, Delivery[]>();
    let describeLink: DescribeLink = () => perfectLink;

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
        const link = describeLink(delivery.from, delivery.to);
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
        setLinks: (describe) => {
            describeLink = describe;
        },
        freeze: (endpoint) => {
            frozenBuffers.set(formatEndpoint(endpoint), []);
        },
        thaw: (endpoint) => {
            const buffered = frozenBuffers.get(formatEndpoint(endpoint)) ?? [];
            frozenBuffers.delete(formatEndpoint(endpoint));
            buffered.forEach(deliver);
        },
        inject: (from, to, payload) => {
            deliver({ from, to, payload });
        },
    };
};
