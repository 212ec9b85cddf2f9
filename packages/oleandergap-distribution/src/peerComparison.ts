/**
 * Compares heads with a random peer over TCP now and then. It finds what every datagram missed, as when a network drops
 * the datagrams between two nodes and lets connections through.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock } from "oleandergap-types";
import { pickOne, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./boundedCall.js";
import type { HeadReceiver } from "./headReceiver.js";
import type { PullOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { FleetPort, PeerPort } from "./ports.js";

/** What a comparison works with; it ends early when `signal` aborts. */
export interface PeerComparisonDependencies {
    readonly fleet: FleetPort;
    readonly peers: Pick<PeerPort, "heads">;
    readonly peerHeads: Pick<PeerHeads, "retain">;
    readonly receiveHeads: HeadReceiver["receiveHeads"];
    readonly clock: Clock;
    readonly random: Random;
    readonly options: Pick<PullOptions, "timeoutMs">;
    readonly signal: AbortSignal;
}

/** Creates the function that makes one comparison; it never rejects. */
export const createPeerComparison = (
    { fleet, peers, peerHeads, receiveHeads, clock, random, options, signal }: PeerComparisonDependencies,
): (() => Promise<void>) => async () => {
    const others = [...fleet.members(), ...fleet.contacts()].filter((peer) => peer.id !== fleet.self().id);
    peerHeads.retain(new Set(others.map((other) => other.id)));
    const peer = pickOne(random, others);
    if (peer === undefined) {
        return;
    }
    const limits = { clock, timeoutMs: options.timeoutMs, signal };
    const answer = await callWithTimeout((inner) => peers.heads(peer, inner), limits);
    if (either.isRight(answer)) {
        receiveHeads(peer, answer.right.heads);
    }
};
