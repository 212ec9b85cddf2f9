/**
 * Maintains the rosters. A roster is a small object per availability zone in the object store that lists some members
 * of the zone. A node uses it to find other members if no seed responds. The roster is only a hint: if it is outdated,
 * missing or overwritten, it costs a few datagrams, and it is never used to decide which members are alive.
 */
import * as either from "fp-ts/lib/Either.js";
import {
    addressSchema,
    nodeIdSchema,
    portSchema,
    zoneNameSchema,
    type Clock,
    type Member,
    type Milliseconds,
    type NodeId,
    type ObjectStore,
    type StoreEra,
    type ZoneName,
} from "oleandergap-types";
import { formatCanonicalJson, rankByRendezvous, startTimeLimit, type Random } from "oleandergap-utils";
import { z } from "zod";
import type { MemberTable } from "./memberTable.js";
import type { Contact } from "./membershipTypes.js";
import { createRestoreCheck } from "./restoreCheck.js";
import type { Statistics } from "./statistics.js";

/**
 * Largest number of members in a roster. The number is small, so that the roster changes rarely and stays small in a
 * large zone.
 */
export const ROSTER_SIZE = 32;
/**
 * Number of members that write the roster. With two writers, the roster is maintained even if one fails; concurrent
 * writes are allowed.
 */
const WRITER_COUNT = 2;
/** Number of periods after which a writer checks the roster even if the members have not changed. */
const RECHECK_PERIODS = 20;
const OBJECT_TIMEOUT_MS: Milliseconds = 5000;
/** Largest number of times that the delay between two reads is doubled. */
const MAX_DOUBLINGS = 5;

const rosterSchema = z.strictObject({
    zone: zoneNameSchema,
    members: z.array(z.strictObject({
        id: nodeIdSchema,
        address: addressSchema,
        controlPort: portSchema,
    })).max(ROSTER_SIZE),
});
type Roster = z.infer<typeof rosterSchema>;

/** Returns the key of a zone's roster in the object store. */
export const formatRosterKey = (zone: ZoneName): string => `membership/roster/${zone}`;

/** Reads of the roster of one zone since a node of the zone last responded. */
interface RosterReads {
    readonly count: number;
    readonly nextAt: Milliseconds;
}

export interface RosterManager {
    /**
     * Writes the roster of the local zone if the roster has changed and this node is one of its writers, or if this
     * node has detected that the store was restored from a backup. `receive` is called with the previous entries,
     * because parts of a zone that are unknown to each other can find each other through the writers.
     */
    readonly poll: (receive: (entries: readonly Contact[]) => void, signal: AbortSignal) => void;
    /**
     * Reads the roster of a zone, with a backoff that grows with each read. `receive` is called only if a valid roster
     * was found.
     */
    readonly read: (zone: ZoneName, receive: (entries: readonly Contact[]) => void, signal: AbortSignal) => void;
    /** Resets the backoff after a node of the zone has responded, so that the next read is not delayed. */
    readonly resetBackoff: (zone: ZoneName) => void;
}

export interface RosterDependencies {
    readonly selfId: NodeId;
    readonly zone: ZoneName;
    readonly clock: Clock;
    readonly random: Random;
    readonly objectStore: ObjectStore;
    readonly table: MemberTable;
    readonly periodMs: Milliseconds;
    readonly statistics: Statistics;
}

const parseRoster = (body: Uint8Array | undefined): Roster | undefined => {
    try {
        const parsed = rosterSchema.safeParse(JSON.parse(Buffer.from(body ?? []).toString("utf8")));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
};

const compareIds = (left: { readonly id: NodeId }, right: { readonly id: NodeId }): number =>
    left.id < right.id ? -1 : 1;

/**
 * Returns the roster to write, based on the existing one. Existing entries are kept while there is space: otherwise, a
 * writer that is partitioned from most of its zone would reduce the roster to itself.
 */
export const composeRoster = (
    zone: ZoneName,
    ranked: readonly Member[],
    hasLeft: (id: NodeId) => boolean,
    existing: Roster | undefined,
): Roster => {
    const selected = ranked.slice(0, ROSTER_SIZE).map(({ id, address, controlPort }) => ({ id, address, controlPort }));
    const selectedIds = new Set(selected.map((entry) => entry.id));
    const retained = (existing?.members ?? []).filter((entry) => !selectedIds.has(entry.id) && !hasLeft(entry.id));
    return { zone, members: [...selected, ...retained].slice(0, ROSTER_SIZE).sort(compareIds) };
};

/**
 * Creates the roster manager. Calls to the object store run in the background; failed calls are counted and retried
 * later.
 */
export const createRosterManager = (dependencies: RosterDependencies): RosterManager => {
    const { selfId, zone, clock, random, objectStore, table, periodMs, statistics } = dependencies;
    const reads = new Map<ZoneName, RosterReads>();
    let isDirty = true;
    let isWriting = false;
    let nextWriteAt = clock.monotonic() + periodMs * (1 + random()) / 2;
    let nextRecheckAt = clock.monotonic() + periodMs * RECHECK_PERIODS * (1 + random());

    const readEra = (): StoreEra | undefined => objectStore.era?.();
    const restoreCheck = createRestoreCheck({ readEra, random });

    table.subscribe(({ member, previous }) => {
        isDirty ||= member.state !== previous?.state || member.address !== previous.address;
    });

    const callWithTimeout = async <Result>(
        signal: AbortSignal,
        call: (signal: AbortSignal) => Promise<Result>,
    ): Promise<Result> => {
        const timeLimit = startTimeLimit(clock, OBJECT_TIMEOUT_MS, signal);
        const result = await call(timeLimit.signal);
        timeLimit.cancel();
        return result;
    };

    const load = async (rosterZone: ZoneName, signal: AbortSignal): Promise<Roster | undefined | "Failed"> => {
        const body = await callWithTimeout(signal, (timeoutSignal) =>
            objectStore.get(formatRosterKey(rosterZone), timeoutSignal)());
        if (either.isLeft(body)) {
            statistics.countEvent("rosterFailed");
            return "Failed";
        }
        statistics.countEvent("rosterRead");
        return parseRoster(body.right);
    };

    const handleFailure = (): void => {
        isDirty = true;
        restoreCheck.postpone(clock.monotonic());
    };

    const toContacts = ({ zone: rosterZone, members }: Roster): readonly Contact[] =>
        members.map((entry) => ({ ...entry, zone: rosterZone }));

    const store = async (
        ranked: readonly Member[],
        receive: (entries: readonly Contact[]) => void,
        signal: AbortSignal,
    ): Promise<void> => {
        const existing = await load(zone, signal);
        if (existing === "Failed") {
            handleFailure();
            return;
        }
        // The era is read before the roster is written, because a restore between the two would lose the roster again.
        const era = readEra();
        if (existing !== undefined) {
            receive(toContacts(existing));
        }
        const roster = composeRoster(zone, ranked, (id) => table.get(id)?.state === "left", existing);
        const text = formatCanonicalJson(roster);
        if (existing !== undefined && text === formatCanonicalJson(existing)) {
            restoreCheck.markComplete(era);
            return;
        }
        const key = formatRosterKey(zone);
        const written = await callWithTimeout(signal, (timeoutSignal) =>
            objectStore.put(key, Buffer.from(text), timeoutSignal)());
        if (either.isLeft(written)) {
            statistics.countEvent("rosterFailed");
            handleFailure();
            return;
        }
        statistics.countEvent("rosterWritten");
        restoreCheck.markComplete(era);
    };

    const poll: RosterManager["poll"] = (receive, signal) => {
        const now = clock.monotonic();
        isDirty ||= now >= nextRecheckAt;
        const isRestored = restoreCheck.isDue(now);
        if (isWriting || !isRestored && (!isDirty || now < nextWriteAt)) {
            return;
        }
        isDirty = false;
        nextWriteAt = now + periodMs * (1 + random() / 2);
        nextRecheckAt = now + periodMs * RECHECK_PERIODS * (1 + random());
        const ranked = rankByRendezvous(formatRosterKey(zone), table.listActive(), (member) => member.id);
        const rank = ranked.findIndex((member) => member.id === selfId);
        // Only the few nodes that call the store after a restore detect the restore. The regular writers may not call
        // it for a long time, so any node that detected the restore may write.
        if (rank < 0 || rank >= WRITER_COUNT && !isRestored) {
            return;
        }
        isWriting = true;
        void store(ranked, receive, signal)
            .catch(() => {
                statistics.countEvent("rosterFailed");
            })
            .finally(() => {
                isWriting = false;
            });
    };

    const read: RosterManager["read"] = (rosterZone, receive, signal) => {
        const now = clock.monotonic();
        const { count, nextAt } = reads.get(rosterZone) ?? { count: 0, nextAt: now };
        if (now < nextAt) {
            return;
        }
        // Without exponential backoff and jitter, the nodes of a partitioned region would read the rosters of all zones
        // of the other region for the whole duration of the partition, and thousands of nodes would do so
        // simultaneously.
        const delay = periodMs * 2 ** Math.min(count, MAX_DOUBLINGS) * (1 + random()) / 2;
        reads.set(rosterZone, { count: count + 1, nextAt: now + delay });
        void load(rosterZone, signal)
            .then((roster) => {
                if (roster !== undefined && roster !== "Failed" && roster.zone === rosterZone) {
                    receive(toContacts(roster));
                }
            })
            .catch(() => {
                statistics.countEvent("rosterFailed");
            });
    };

    return {
        poll,
        read,
        resetBackoff: (rosterZone) => {
            reads.delete(rosterZone);
        },
    };
};
