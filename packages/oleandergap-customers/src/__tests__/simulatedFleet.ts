/** Test support: a fleet of nodes with quotas on one synchronous clock, and a network that cuts, loses and delays. */
import type { CancelTimer, Clock, Customer, CustomerQuota, Milliseconds } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import { createFleetQuota, type FleetQuota } from "../fleetQuota.js";
import { defaultQuotaOptions } from "../options.js";
import type { QuotaDecision } from "../quota.js";
import { quotaMessageSchema, type QuotaMessage } from "../quotaMessage.js";
import type { QuotaPeer } from "../quotaNetwork.js";

const PARTNER = "halloway";

const expectNode = (index: number): never => {
    throw new Error(`there is no node ${index}`);
};
/** Time at which a simulation begins. */
export const START_MS: Milliseconds = 1000;
/** Time in which the membership notices that a node is gone or back. */
const DETECTION_MS: Milliseconds = 3000;

interface Timer {
    readonly at: Milliseconds;
    readonly run: () => void;
    isCancelled: boolean;
}

/** Clock whose timers run synchronously, in order of time and then of creation. */
export interface SimulatedClock extends Clock {
    readonly runUntil: (time: Milliseconds) => void;
}

/** Width of the slots into which timers are sorted first. */
const SLOT_MS: Milliseconds = 1;

export const createSimulatedClock = (): SimulatedClock => {
    let time = START_MS;
    const slots = new Map<number, Timer[]>();
    const slotOf = (at: Milliseconds): number => Math.floor(at / SLOT_MS);

    const after = (delay: Milliseconds, run: () => void): CancelTimer => {
        const timer: Timer = { at: time + Math.max(0, delay), run, isCancelled: false };
        const slot = slots.get(slotOf(timer.at)) ?? [];
        const position = slot.findLastIndex(({ at }) => at <= timer.at) + 1;
        slot.splice(position, 0, timer);
        slots.set(slotOf(timer.at), slot);
        return () => {
            timer.isCancelled = true;
        };
    };

    const runSlot = (slot: Timer[], end: Milliseconds): void => {
        for (let timer = slot[0]; timer !== undefined && timer.at <= end; timer = slot[0]) {
            slot.shift();
            time = timer.at;
            if (!timer.isCancelled) {
                timer.run();
            }
        }
    };

    return {
        now: () => time,
        monotonic: () => time,
        after,
        sleep: () => Promise.reject(new Error("simulated nodes do not sleep")),
        runUntil: (end) => {
            for (let slot = slotOf(time); slot <= slotOf(end); slot++) {
                runSlot(slots.get(slot) ?? [], end);
                if (slots.get(slot)?.length === 0) {
                    slots.delete(slot);
                }
            }
            time = end;
        },
    };
};

interface SimulatedNode {
    readonly peer: QuotaPeer;
    readonly zone: number;
    quota: FleetQuota | undefined;
    stopped: AbortController;
    /** What runs when the process wakes up, in order; undefined while it runs. */
    suspended: (() => void)[] | undefined;
    /** Its monotonic clock, and the time for which that stood still. */
    stoppedAt: Milliseconds | undefined;
    stoppedMs: Milliseconds;
}

/** State of the network. */
export interface SimulatedLinks {
    /** Returns whether datagrams pass between two nodes now. */
    isOpen: (from: number, to: number) => boolean;
    loss: number;
    duplication: number;
    maximumDelayMs: Milliseconds;
}

export interface SimulatedFleet {
    readonly clock: SimulatedClock;
    readonly links: SimulatedLinks;
    readonly nodeCount: number;
    readonly zoneOf: (node: number) => number;
    /** Sends a request to a node; one that is not running does not respond. */
    readonly request: (node: number, customer: Customer, respond: (decision: QuotaDecision) => void) => void;
    readonly quotaOf: (node: number) => FleetQuota | undefined;
    readonly kill: (node: number) => void;
    readonly start: (node: number) => void;
    /** Suspends a node. Its timers and what arrives for it wait; the monotonic clock of a process goes on. */
    readonly suspend: (node: number, what: "process" | "VM") => void;
    readonly wake: (node: number) => void;
    /** Sets the quota in the tables of all nodes. */
    readonly setQuota: (name: string, quota: CustomerQuota) => void;
    readonly countDatagrams: () => number;
}

export interface FleetShape {
    readonly zones: number;
    readonly nodesPerZone: number;
    readonly seed: number;
}

const CONTACTS_PER_ZONE = 3;
const MINIMUM_DELAY_MS: Milliseconds = 0.3;

interface Reachability {
    isReachable: boolean;
    since: Milliseconds;
    wasMember: boolean;
}

interface MembershipView {
    readonly isMember: (viewer: number, other: number) => boolean;
    /** Removes what a node knows, which has started again. */
    readonly forget: (viewer: number) => void;
}

/** Creates the view of the membership, which notices what becomes reachable at once and what is gone later. */
const createMembershipView = (
    clock: SimulatedClock,
    isReachable: (viewer: number, other: number) => boolean,
): MembershipView => {
    const known = new Map<string, Reachability>();
    const isMember = (viewer: number, other: number): boolean => {
        const now = clock.monotonic();
        const key = `${viewer}/${other}`;
        const isOpen = viewer === other || isReachable(viewer, other);
        const state = known.get(key) ?? { isReachable: isOpen, since: now - DETECTION_MS, wasMember: isOpen };
        known.set(key, state);
        if (state.isReachable !== isOpen) {
            state.wasMember = state.isReachable || (state.wasMember && now - state.since < DETECTION_MS);
            state.isReachable = isOpen;
            state.since = now;
        }
        return isOpen || (state.wasMember && now - state.since < DETECTION_MS);
    };
    return {
        isMember,
        forget: (viewer) => {
            [...known.keys()].filter((key) => key.startsWith(`${viewer}/`)).forEach((key) => known.delete(key));
        },
    };
};

export const createSimulatedFleet = ({ zones, nodesPerZone, seed }: FleetShape): SimulatedFleet => {
    const clock = createSimulatedClock();
    const random = createSeededRandom(seed);
    const links: SimulatedLinks = { isOpen: () => true, loss: 0, duplication: 0, maximumDelayMs: 1.5 };
    const quotas = new Map<string, CustomerQuota>();
    let boots = 0;
    let datagrams = 0;
    const nodes = Array.from({ length: zones * nodesPerZone }, (_, index): SimulatedNode => ({
        peer: {
            id: `node-${index}`,
            zone: `zone-${index % zones}`,
            address: "192.0.2.1",
            controlPort: index + 1,
            linkClass: index % 5,
        },
        zone: index % zones,
        quota: undefined,
        stopped: new AbortController(),
        suspended: undefined,
        stoppedAt: undefined,
        stoppedMs: 0,
    }));
    const nodeAt = (index: number): SimulatedNode => nodes[index] ?? expectNode(index);
    const { isMember, forget } = createMembershipView(clock, (viewer, other) =>
        links.isOpen(viewer, other) && links.isOpen(other, viewer) &&
        nodeAt(other).quota !== undefined && nodeAt(other).suspended === undefined);

    const readMonotonic = ({ stoppedAt, stoppedMs }: SimulatedNode): Milliseconds =>
        (stoppedAt ?? clock.monotonic()) - stoppedMs;

    const runAwake = (node: SimulatedNode, run: () => void): void => {
        if (node.suspended === undefined) {
            run();
        }
        else {
            node.suspended.push(run);
        }
    };

    const deliver = (from: number, to: number, text: string): void => {
        const delay = MINIMUM_DELAY_MS + random() * (links.maximumDelayMs - MINIMUM_DELAY_MS);
        clock.after(delay, () => runAwake(nodeAt(to), () =>
            nodeAt(to).quota?.receive(nodeAt(from).peer, quotaMessageSchema.parse(JSON.parse(text)))));
    };

    const send = (from: number, to: number, message: QuotaMessage): void => {
        datagrams++;
        if (!links.isOpen(from, to) || random() < links.loss) {
            return;
        }
        const text = JSON.stringify(message);
        deliver(from, to, text);
        if (random() < links.duplication) {
            deliver(from, to, text);
        }
    };

    const start = (node: number): void => {
        const own = nodeAt(node);
        forget(node);
        own.stopped = new AbortController();
        const { signal } = own.stopped;
        const otherZones = Array.from({ length: zones }, (_, zone) => ({
            zone: `zone-${zone}`,
            contacts: nodes.filter((other) => other.zone === zone).slice(0, CONTACTS_PER_ZONE).map(({ peer }) => peer),
        })).filter(({ zone }) => zone !== own.peer.zone);
        const zoneMembers = nodes.map((_, index) => index).filter((index) => nodeAt(index).zone === own.zone);
        own.quota = createFleetQuota({
            clock: {
                ...clock,
                monotonic: () => readMonotonic(own),
                after: (delay, run) => {
                    let isCancelled = false;
                    const runUnlessEnded = (): void => {
                        if (!signal.aborted && !isCancelled) {
                            run();
                        }
                    };
                    const cancel = clock.after(delay, () => runAwake(own, runUnlessEnded));
                    return () => {
                        isCancelled = true;
                        cancel();
                    };
                },
            },
            random,
            bootId: `boot-${boots++}`,
            options: defaultQuotaOptions,
            network: {
                self: own.peer,
                members: () => zoneMembers.filter((other) => isMember(node, other)).map((other) => nodeAt(other).peer),
                otherZones: () => otherZones,
                countZones: () => zones,
                isInformed: () =>
                    nodes.length === 1 || nodes.some((other, index) => other !== own && isMember(node, index)),
                send: (to, message) => send(node, to.controlPort - 1, message),
            },
            findQuota: ({ customer }) => quotas.get(customer),
            signal,
        });
    };

    nodes.forEach((_, index) => start(index));
    return {
        clock,
        links,
        nodeCount: nodes.length,
        zoneOf: (node) => nodeAt(node).zone,
        request: (node, customer, respond) =>
            runAwake(nodeAt(node), () => nodeAt(node).quota?.decide(customer, PARTNER, respond)),
        quotaOf: (node) => nodeAt(node).quota,
        kill: (node) => {
            nodeAt(node).stopped.abort();
            nodeAt(node).quota = undefined;
            nodeAt(node).suspended = undefined;
        },
        start,
        suspend: (node, what) => {
            nodeAt(node).suspended ??= [];
            nodeAt(node).stoppedAt ??= what === "VM" ? clock.monotonic() : undefined;
        },
        wake: (node) => {
            const waiting = nodeAt(node).suspended ?? [];
            nodeAt(node).stoppedMs += clock.monotonic() - (nodeAt(node).stoppedAt ?? clock.monotonic());
            Object.assign(nodeAt(node), { suspended: undefined, stoppedAt: undefined });
            waiting.forEach((run) => run());
        },
        setQuota: (name, quota) => {
            quotas.set(name, quota);
        },
        countDatagrams: () => datagrams,
    };
};
