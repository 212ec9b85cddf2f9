/** Finds the zone's other members: at the start, and again after this node or a part of the zone was cut off. */
import type { Clock, Member, Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import { drawBackoff, pickOne, pickSeveral, type Random } from "oleandergap-utils";
import { listOtherMembers } from "./memberRound.js";
import type { MemberTable } from "./memberTable.js";
import type { MembershipOptions } from "./options.js";
import { getControlEndpoint, type Prober } from "./prober.js";
import type { RosterKeeper } from "./roster.js";
import type { Synchronizer } from "./synchronizer.js";
import { listNeighbours } from "./neighbours.js";
import { formatEndpoint, type Endpoint } from "./transport.js";

const JOIN_FANOUT = 3;
const JOIN_RETRY_MS: Milliseconds = 500;
const MAX_JOIN_RETRY_MS: Milliseconds = 5000;
/** Attempts without an answer after which the roster is read. */
const ATTEMPTS_BEFORE_ROSTER = 2;
/** From this attempt on the neighbours are asked as well: the roster usually answers the first one. */
const ATTEMPTS_BEFORE_NEIGHBOURS = 2;
const MAX_CANDIDATES = 256;
/** Neighbours on each side that a node without seeds asks before anything else. */
const NEAREST_NEIGHBOUR_SPAN = 2;
/** Time for their answers; several times what a datagram takes between VMs that start at the same moment. */
const NEAREST_TIMEOUT_MS: Milliseconds = 200;

export interface Rejoiner {
    readonly poll: (signal: AbortSignal) => void;
    readonly addCandidates: (endpoints: readonly Endpoint[]) => void;
}

export interface RejoinerDependencies {
    readonly self: Pick<Member, "id" | "address" | "controlPort">;
    readonly zone: ZoneName;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly table: MemberTable;
    readonly prober: Prober;
    readonly synchronizer: Synchronizer;
    readonly roster: RosterKeeper | undefined;
}

/** Candidates start with the seeds of the own zone. */
export const createRejoiner = (dependencies: RejoinerDependencies): Rejoiner => {
    const { self, zone, clock, random, options, table, prober, synchronizer, roster } = dependencies;
    const selfId: NodeId = self.id;
    const selfKey = formatEndpoint(getControlEndpoint(self));
    const candidates = new Map<string, Endpoint>();
    let attempts = 0;
    let nextJoinAt = clock.monotonic();
    let nextReconnectAt = clock.monotonic() + options.reconnectPeriodMs * (1 + random());

    const addCandidates = (endpoints: readonly Endpoint[]): void => {
        for (const endpoint of endpoints) {
            const key = formatEndpoint(endpoint);
            if (key !== selfKey && candidates.size < MAX_CANDIDATES && !candidates.has(key)) {
                candidates.set(key, endpoint);
                // Whoever is new may stand for a part of the zone that this node does not know.
                nextReconnectAt = Math.min(nextReconnectAt, clock.monotonic());
            }
        }
    };

    const readRoster = (signal: AbortSignal): void => {
        roster?.read(zone, (entries) => {
            addCandidates(entries.map(getControlEndpoint));
            nextJoinAt = Math.min(nextJoinAt, clock.monotonic());
        }, signal);
    };

    /**
     * Where VMs are numbered in a row, those beside this one nearly always belong to its zone and are there: asked
     * first, they spare the platform two reads a start (97 reads of it by 36 nodes, 15 with it; model in memory).
     */
    const probeNearestNeighbours = (now: Milliseconds): void => {
        attempts += 1;
        nextJoinAt = now + NEAREST_TIMEOUT_MS;
        listNeighbours(self, Math.min(NEAREST_NEIGHBOUR_SPAN, options.neighbourSpan)).forEach(synchronizer.compareWith);
    };

    const join = (now: Milliseconds, signal: AbortSignal): void => {
        if (attempts === 0 && candidates.size === 0 && options.neighbourSpan > 0) {
            probeNearestNeighbours(now);
            return;
        }
        nextJoinAt = now + JOIN_RETRY_MS * random() + drawBackoff(random, attempts, JOIN_RETRY_MS, MAX_JOIN_RETRY_MS);
        attempts += 1;
        const knownEndpoints = [...candidates.values(), ...table.listTombstones().filter((member) => member.state === "dead").map(getControlEndpoint)];
        pickSeveral(random, knownEndpoints, JOIN_FANOUT).forEach(synchronizer.join);
        if (attempts > ATTEMPTS_BEFORE_ROSTER || knownEndpoints.length === 0) {
            readRoster(signal);
        }
        if (attempts >= ATTEMPTS_BEFORE_NEIGHBOURS) {
            listNeighbours(self, options.neighbourSpan).forEach(synchronizer.compareWith);
        }
    };

    /**
     * Tries one member or candidate that seems unreachable. Without it, two halves of a zone that declared each other
     * dead would never speak again after the cut between them healed; one would see two disjoint member lists.
     */
    const reconnect = (now: Milliseconds): void => {
        nextReconnectAt = now + options.reconnectPeriodMs * (0.5 + random());
        const presentKeys = new Set(table.listActive().map((member) => formatEndpoint(getControlEndpoint(member))));
        const dead = table.listTombstones().filter((member) =>
            member.state === "dead" && !presentKeys.has(formatEndpoint(getControlEndpoint(member))));
        const absent = [...candidates.entries()].filter(([key]) => !presentKeys.has(key));
        const choice = pickOne(random, [
            ...dead.map((member) => () => {
                prober.ping(member);
            }),
            ...absent.map(([, endpoint]) => () => {
                synchronizer.compareWith(endpoint);
            }),
        ]);
        choice?.();
    };

    addCandidates(options.seeds.filter((seed) => seed.zone === zone));
    return {
        poll: (signal) => {
            const now = clock.monotonic();
            if (listOtherMembers(table, selfId).length > 0) {
                if (attempts > 0) {
                    attempts = 0;
                    roster?.resetBackoff(zone);
                }
                if (now >= nextReconnectAt) {
                    reconnect(now);
                }
            }
            else if (now >= nextJoinAt) {
                join(now, signal);
            }
        },
        addCandidates,
    };
};
