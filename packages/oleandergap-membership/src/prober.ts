/**
 * Probes one member per period, first directly and then through other members, and suspects the member if no probe
 * succeeds. Members are probed in turn, so that each one is probed within a bounded time.
 */
import type { Clock, Member, Milliseconds, NodeId } from "oleandergap-types";
import { pickIndex, pickSeveral, type Random } from "oleandergap-utils";
import type { LocalHealth } from "./localHealth.js";
import { createMemberRound, listOtherMembers } from "./memberRound.js";
import type { MemberTable } from "./memberTable.js";
import type { MemberUpdates } from "./memberUpdates.js";
import type { MessageBody } from "./messages.js";
import type { PiggybackedData, Messenger } from "./messenger.js";
import type { MembershipOptions } from "./options.js";
import { createRelays } from "./relays.js";
import type { Statistics } from "./statistics.js";
import type { Endpoint } from "./transport.js";

const SEQUENCE_LIMIT = 2 ** 32;

/** Probe of the current period. */
interface Probe {
    readonly sequence: number;
    readonly target: Member;
    readonly pingRequestAt: Milliseconds;
    readonly failsAt: Milliseconds;
    helpers: readonly Member[];
    nacks: number;
}

export interface Prober {
    /** Starts, continues or ends probes that are due. */
    readonly poll: () => void;
    /** Probes a suspect again, both directly and through other members. */
    readonly probeSuspect: (suspect: Member) => void;
    /**
     * Pings a member without evaluating the response. If the state of the given record is not alive, the ping contains
     * the record, so that the member can refute it.
     */
    readonly ping: (target: Member) => void;
    readonly receiveAck: (sequence: number) => void;
    readonly receiveNack: (sequence: number) => void;
    /** Pings a target on behalf of another member. */
    readonly relay: (request: Extract<MessageBody, { kind: "PingRequest" }>, requester: Endpoint) => void;
    /** Cancels all probes in flight without suspecting their targets. */
    readonly cancelProbes: () => void;
}

export interface ProberDependencies {
    readonly selfId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly table: MemberTable;
    readonly updates: MemberUpdates;
    readonly messenger: Messenger;
    readonly health: LocalHealth;
    readonly statistics: Statistics;
}

/** Returns the control endpoint of a member. */
export const getControlEndpoint = (member: Pick<Member, "address" | "controlPort">): Endpoint => ({
    address: member.address,
    port: member.controlPort,
});

/**
 * Adds the record of a member that is not alive to the ping that it receives, so that the member can refute the claim.
 */
const createPingPiggyback = (target: Member): PiggybackedData => target.state === "alive" ? {} : { records: [target] };

/**
 * Creates a prober. Its first probe starts after a random part of a period, so that nodes that start at the same time
 * do not probe simultaneously.
 */
export const createProber = (dependencies: ProberDependencies): Prober => {
    const { selfId, clock, random, options, table, updates, messenger, health, statistics } = dependencies;
    const relays = createRelays({ clock, table, messenger, ackTimeoutMs: options.ackTimeoutMs });
    const round = createMemberRound(table, selfId, random);
    let probe: Probe | undefined;
    let sequence = pickIndex(random, SEQUENCE_LIMIT);
    let nextProbeAt = clock.monotonic() + random() * options.probePeriodMs;

    const nextSequence = (): number => {
        sequence = (sequence + 1) % SEQUENCE_LIMIT;
        return sequence;
    };

    const sendPing = (target: Member, pingSequence: number): void => {
        const body = { kind: "Ping", sequence: pingSequence, targetId: target.id } as const;
        messenger.send(getControlEndpoint(target), body, createPingPiggyback(target));
    };

    const sendPingRequests = (target: Member, requestSequence: number): readonly Member[] => {
        const candidates = listOtherMembers(table, selfId)
            .filter((member) => member.id !== target.id && member.state === "alive");
        const helpers = pickSeveral(random, candidates, options.indirectProbes);
        const pingRequestFields = { targetId: target.id, ...getControlEndpoint(target) };
        for (const helper of helpers) {
            const body = { kind: "PingRequest", sequence: requestSequence, ...pingRequestFields } as const;
            messenger.send(getControlEndpoint(helper), body, createPingPiggyback(target));
        }
        return helpers;
    };

    const startProbe = (now: Milliseconds): void => {
        const period = options.probePeriodMs * health.multiplier();
        nextProbeAt = now + period;
        const target = round.next();
        if (target === undefined) {
            return;
        }
        probe = {
            sequence: nextSequence(),
            target,
            pingRequestAt: now + Math.min(options.ackTimeoutMs * health.multiplier(), period / 2),
            failsAt: now + period,
            helpers: [],
            nacks: 0,
        };
        sendPing(target, probe.sequence);
    };

    /**
     * Suspects the target and lowers the local health for each helper that sent no reply at all, because missing
     * replies indicate that this node itself cannot be reached.
     */
    const failProbe = ({ target, helpers, nacks }: Probe): void => {
        statistics.countEvent("probeFailed");
        health.adjust(helpers.length > 0 ? helpers.length - nacks : 1);
        updates.suspect(target);
        sendPing(table.get(target.id) ?? target, nextSequence());
    };

    const pollProbe = (now: Milliseconds): void => {
        if (probe === undefined) {
            return;
        }
        if (now >= probe.failsAt) {
            const failed = probe;
            probe = undefined;
            failProbe(failed);
        }
        else if (now >= probe.pingRequestAt && probe.helpers.length === 0) {
            probe.helpers = sendPingRequests(probe.target, probe.sequence);
        }
    };

    const receiveAck = (ackSequence: number): void => {
        if (relays.forwardAck(ackSequence) || probe?.sequence !== ackSequence) {
            return;
        }
        probe = undefined;
        health.adjust(-1);
        statistics.countEvent("probeSucceeded");
    };

    const relay: Prober["relay"] = (request, requester) => {
        const relaySequence = nextSequence();
        const { targetId, address, port } = request;
        relays.add(relaySequence, targetId, requester, request.sequence);
        const stored = table.get(targetId);
        const piggybacked = stored === undefined ? {} : createPingPiggyback(stored);
        messenger.send({ address, port }, { kind: "Ping", sequence: relaySequence, targetId }, piggybacked);
    };

    return {
        poll: () => {
            const now = clock.monotonic();
            pollProbe(now);
            relays.poll();
            if (probe === undefined && now >= nextProbeAt) {
                startProbe(now);
            }
        },
        probeSuspect: (suspect) => {
            sendPing(suspect, nextSequence());
            sendPingRequests(suspect, nextSequence());
        },
        ping: (target) => {
            sendPing(target, nextSequence());
        },
        receiveAck,
        receiveNack: (nackSequence) => {
            if (probe?.sequence === nackSequence) {
                probe.nacks += 1;
            }
        },
        relay,
        cancelProbes: () => {
            probe = undefined;
            relays.clear();
            nextProbeAt = clock.monotonic() + options.probePeriodMs;
        },
    };
};
