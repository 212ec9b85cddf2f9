/**
 * Gossip of roll-outs and reports to all nodes. A new order or state is sent to many nodes at once, and each receiver
 * forwards it. Reports of targets travel in rounds, each of which reaches a few random nodes. Nothing is sent while no
 * roll-out is under way or has ended recently.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import {
    createPeerBootstrap,
    createTokenBucket,
    pickSeveral,
    type GossipNetwork,
    type Random,
} from "oleandergap-utils";
import { isFinal, type Rollout } from "../rollout.js";
import {
    decodeRollout,
    encodeReports,
    encodeRollouts,
    type RolloutMessage,
} from "./rolloutMessage.js";
import type { RolloutStore } from "./rolloutStore.js";

/** Number of members of the zone to which a node sends a change at once. */
const FANOUT = 9;
const ROUND_INTERVAL_MS: Milliseconds = 200;
/** Number of random nodes that receive the reports of one round. */
const PEERS_PER_ROUND = 4;
/** Number of rounds between two messages with all roll-outs, which repair what was lost in transit. */
const ROUNDS_PER_REPAIR = 3;
/** Time after the end of a roll-out for which it is still sent to other nodes. */
const LINGER_MS: Milliseconds = 10_000;
const PEERS_PER_QUERY = 2;
/** Maximum number of answers to queries per second; each takes several datagrams. */
const ANSWERS_PER_SECOND = 10;

/** The nodes that can be reached, and how to send to them. */
export type RolloutNetwork<Peer> = GossipNetwork<Peer, RolloutMessage>;

/** Dependencies of the gossip. */
export interface RolloutGossipDependencies<Peer> {
    readonly clock: Clock;
    readonly random: Random;
    readonly store: RolloutStore;
    readonly network: RolloutNetwork<Peer>;
    /** Reads the roll-outs in the platform's table; resolves to undefined when they are no longer needed. */
    readonly loadRollouts: (isNeeded: () => boolean) => Promise<readonly Rollout[] | undefined>;
    /** Runs after a roll-out received from another node has changed the store. */
    readonly onChange: (rollout: Rollout) => void;
    /** Runs before each round, to add the report of the local target and to judge the reports. */
    readonly onRound: () => void;
    readonly signal: AbortSignal;
}

/** Sends and receives roll-outs. */
export interface RolloutGossip<Peer> {
    /** Starts to ask other nodes for the roll-outs of the fleet. */
    readonly start: () => void;
    /** Sends a roll-out that is new in the store to other nodes at once, and starts the rounds. */
    readonly broadcast: (rollout: Rollout) => void;
    readonly receive: (from: Peer, message: RolloutMessage) => void;
    /** Returns whether this node has received the roll-outs of the fleet. */
    readonly isInformed: () => boolean;
}

/** Creates the gossip; it ends when the signal aborts. */
export const createRolloutGossip = <Peer>(
    { clock, random, store, network, loadRollouts, onChange, onRound, signal }: RolloutGossipDependencies<Peer>,
): RolloutGossip<Peer> => {
    const answerLimit = createTokenBucket({
        clock,
        ratePerSecond: () => ANSWERS_PER_SECOND,
        burst: ANSWERS_PER_SECOND,
    });
    let isRoundScheduled = false;
    let rounds = 0;

    const sendAll = (peers: readonly Peer[], messages: readonly RolloutMessage[]): void =>
        peers.forEach((peer) => messages.forEach((message) => network.send(peer, message)));

    const pickPeers = (count: number): readonly Peer[] =>
        pickSeveral(random, [...network.members(), ...network.contacts()], count);

    const isActive = ({ state, since }: Rollout): boolean =>
        !isFinal(state) || clock.monotonic() - since < LINGER_MS;

    const listActive = (): readonly Rollout[] => store.list().map(({ rollout }) => rollout).filter(isActive);

    const runRound = (): void => {
        isRoundScheduled = false;
        if (signal.aborted) {
            return;
        }
        onRound();
        rounds += 1;
        for (const { order } of listActive()) {
            const reports = store.takeReports(order.id);
            sendAll(pickPeers(PEERS_PER_ROUND), encodeReports(order.id, reports));
        }
        if (rounds % ROUNDS_PER_REPAIR === 0) {
            sendAll(pickPeers(1), encodeRollouts(listActive(), clock.monotonic()));
        }
        scheduleRound();
    };

    const scheduleRound = (): void => {
        if (!isRoundScheduled && listActive().length > 0) {
            isRoundScheduled = true;
            clock.after(ROUND_INTERVAL_MS, runRound);
        }
    };

    const broadcast = (rollout: Rollout): void => {
        const peers = [...pickSeveral(random, network.members(), FANOUT), ...network.contacts()];
        sendAll(peers, encodeRollouts([rollout], clock.monotonic()));
        scheduleRound();
    };

    const answerQuery = (from: Peer): void => {
        if (!answerLimit.tryTake()) {
            return;
        }
        for (const { rollout, reports } of store.list()) {
            const messages = [
                ...encodeRollouts([rollout], clock.monotonic()),
                ...encodeReports(rollout.order.id, [...reports.values()].map(({ report }) => report)),
            ];
            sendAll([from], messages);
        }
        network.send(from, { kind: "Answered", isInformed: bootstrap.isInformed() });
    };

    const receiveRollout = (received: Rollout): void => {
        const changed = store.merge(received);
        if (changed !== undefined) {
            broadcast(changed);
            onChange(changed);
        }
    };

    const bootstrap = createPeerBootstrap<readonly Rollout[]>({
        clock,
        random,
        queryPeers: () => sendAll(pickPeers(PEERS_PER_QUERY), [{ kind: "Query" }]),
        isFirstInZone: network.isFirstInZone,
        load: loadRollouts,
        onLoaded: (rollouts) => rollouts.forEach(receiveRollout),
        signal,
    });

    return {
        start: bootstrap.start,
        broadcast,
        receive: (from, message) => {
            const now = clock.monotonic();
            switch (message.kind) {
                case "Rollouts":
                    message.rollouts.forEach((part) => receiveRollout(decodeRollout(part, now)));
                    return;
                case "Reports":
                    message.reports.forEach((report) => store.addReport(message.rollout, report, now));
                    return;
                case "Query":
                    answerQuery(from);
                    return;
                case "Answered":
                    if (message.isInformed) {
                        bootstrap.markInformed();
                    }
            }
        },
        isInformed: bootstrap.isInformed,
    };
};
