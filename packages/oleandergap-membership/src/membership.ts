/**
 * Membership of the nodes of one availability zone, based on SWIM with the Lifeguard extensions, and contacts in the
 * remote zones. A single timer drives all activities; docs/MEMBERSHIP.md describes the design and its bounds.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds } from "oleandergap-types";
import { listOtherMembers } from "./memberRound.js";
import { createMembershipParts, type MembershipParts } from "./membershipParts.js";
import type { Membership, MembershipDependencies, PushMessage } from "./membershipTypes.js";
import { getControlEndpoint } from "./prober.js";
import { createTicker } from "./ticker.js";
import type { Endpoint, ReceiveDatagram } from "./transport.js";

/** Resolution of all timeouts. */
const TICK_MS: Milliseconds = 100;
/**
 * After a pause longer than this fraction of the tombstone lifetime, records of this node may be older than any
 * tombstone.
 */
const STALE_PAUSE_FRACTION = 0.5;
/** Increase of the health score after a pause. */
const PAUSE_HEALTH_PENALTY = 2;

const createReceiver = (parts: MembershipParts, dependencies: MembershipDependencies): ReceiveDatagram =>
    (payload, from) => {
        const decoded = parts.codec.decode(payload);
        if (either.isLeft(decoded)) {
            parts.statistics.countDropped(decoded.left);
            return;
        }
        parts.statistics.countReceived(decoded.right.body.kind, payload.length);
        try {
            parts.handleDatagram(decoded.right, from);
        }
        catch (error) {
            // An error thrown by a listener must not end the process or prevent the processing of later datagrams.
            parts.statistics.countDropped("HandlerFailed");
            dependencies.logger.error("handling a datagram failed", { detail: String(error) });
        }
    };

const recoverFromPause = (
    parts: MembershipParts,
    dependencies: MembershipDependencies,
    duration: Milliseconds,
): void => {
    const { clock, logger, options, self } = dependencies;
    parts.statistics.countEvent("paused");
    logger.warn("this process was paused; cancelling its probes and restarting its suspicions", { durationMs: duration });
    parts.health.adjust(PAUSE_HEALTH_PENALTY);
    parts.prober.cancelProbes();
    parts.suspicions.restartAll();
    if (duration > options.tombstoneMs * STALE_PAUSE_FRACTION) {
        // Other members may have removed the tombstones of members that died during the pause. Gossiping the old
        // records would bring those members back.
        logger.warn("removing all other members after a long pause", { at: clock.now() });
        parts.rejoiner.addCandidates(listOtherMembers(parts.table, self.id).map(getControlEndpoint));
        parts.table.removeOthers();
        parts.queue.clear();
        parts.suspicions.clear();
    }
};

const pollSuspicions = ({ suspicions, table, prober, updates }: MembershipParts): void => {
    const due = suspicions.collectDue();
    for (const id of due.checks) {
        const suspect = table.get(id);
        if (suspect !== undefined) {
            prober.probeSuspect(suspect);
        }
    }
    due.expired.forEach(updates.declareDead);
};

const runTick = (parts: MembershipParts, signal: AbortSignal): void => {
    parts.prober.poll();
    pollSuspicions(parts);
    parts.gossiper.poll();
    parts.synchronizer.poll();
    parts.rejoiner.poll(signal);
    parts.contacts.poll(signal);
    parts.roster?.poll((entries) => parts.rejoiner.addCandidates(entries.map(getControlEndpoint)), signal);
    parts.table.removeExpiredTombstones();
};

const startTicking = (parts: MembershipParts, dependencies: MembershipDependencies, signal: AbortSignal): void => {
    const { clock, logger, options } = dependencies;
    const runGuarded = (action: () => void): void => {
        try {
            action();
        }
        catch (error) {
            parts.statistics.countDropped("HandlerFailed");
            logger.error("a periodic task failed", { detail: String(error) });
        }
    };
    createTicker({
        clock,
        tickMs: TICK_MS,
        pauseBoundMs: options.pauseBoundMs,
        onTick: () => {
            runGuarded(() => {
                runTick(parts, signal);
            });
        },
        onPause: (duration) => {
            runGuarded(() => {
                recoverFromPause(parts, dependencies, duration);
            });
        },
    }).start(signal);
};

/** Resolves when another member is known, when the join timeout has passed, or when `signal` aborts. */
const waitForMember = async (
    parts: MembershipParts,
    { clock, options, self }: MembershipDependencies,
    signal: AbortSignal,
): Promise<void> => {
    const joined = new AbortController();
    const unsubscribe = parts.table.subscribe(({ member }) => {
        if (member.id !== self.id) {
            joined.abort();
        }
    });
    await clock.sleep(options.joinTimeoutMs, AbortSignal.any([signal, joined.signal]));
    unsubscribe();
};

const start = async (
    parts: MembershipParts,
    dependencies: MembershipDependencies,
    signal: AbortSignal,
): Promise<void> => {
    const bound = await dependencies.transport.open(createReceiver(parts, dependencies), signal)();
    if (either.isLeft(bound)) {
        throw new Error(`Cannot bind the control port: ${bound.left.detail}`);
    }
    if (bound.right.port !== parts.self().controlPort) {
        parts.updates.changeSelf((self) => ({ ...self, controlPort: bound.right.port, revision: self.revision + 1 }));
    }
    startTicking(parts, dependencies, signal);
    await waitForMember(parts, dependencies, signal);
};

const leave = async (parts: MembershipParts): Promise<void> => {
    parts.updates.changeSelf((self) => ({ ...self, state: "left" }));
    await parts.gossiper.announceLeave(parts.self());
};

/** Creates the membership. Nothing is sent or received before `start` is called. */
export const createMembership = (dependencies: MembershipDependencies): Membership => {
    const parts = createMembershipParts(dependencies);
    const { table, updates, messenger, heads, contacts, statistics, health } = parts;

    const push = (to: Endpoint, message: PushMessage): void => {
        messenger.send(to, { kind: message.kind }, { heads: message.heads });
    };

    return {
        start: (signal) => start(parts, dependencies, signal),
        members: table.listActive,
        member: table.get,
        self: parts.self,
        setTarget: (target) => {
            updates.changeSelf(({ target: _previousTarget, ...self }) => ({
                ...self,
                revision: self.revision + 1,
                ...(target === undefined ? {} : { target }),
            }));
        },
        leave: () => leave(parts),
        subscribe: table.subscribe,
        subscribeHeads: heads.subscribe,
        send: (address, port, message) => {
            push({ address, port }, message);
        },
        sendTo: (member, message) => {
            push(getControlEndpoint(member), message);
        },
        join: parts.rejoiner.addCandidates,
        contactsOf: contacts.contactsOf,
        reportUnresponsive: contacts.markUnresponsive,
        addZones: contacts.addZones,
        probeZone: contacts.probeZone,
        subscribeZoneDigests: parts.zoneDigests.subscribe,
        zones: contacts.zones,
        stats: () => ({ ...statistics.read(), healthScore: health.score() }),
    };
};
