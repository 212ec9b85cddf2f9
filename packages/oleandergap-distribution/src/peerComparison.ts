/**
 * Compares heads with a random peer over TCP (anti-entropy). It finds versions that no datagram delivered, for example
 * because the network drops the datagrams between two nodes but allows connections.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock } from "oleandergap-types";
import { pickOne, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./callWithTimeout.js";
import type { HeadReceiver } from "./headReceiver.js";
import type { PullOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { FleetPort, PeerPort } from "./ports.js";

/** Dependencies of a comparison. It ends early when `signal` aborts. */
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

/** Creates the function that runs one comparison. The function never rejects. */
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
    const response = await callWithTimeout((inner) => peers.heads(peer, inner), limits);
    if (either.isRight(response)) {
        receiveHeads(peer, response.right.heads);
    }
};
