/**
 * The roster: one small object per availability zone in the object store with some of the zone's members, from which a
 * node finds the others when no seed answers. It is a hint only: stale, absent or overwritten, it costs a few datagrams
 * and is never believed about who is alive.
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

/** Members in a roster; few, so that it seldom changes and stays small in a large zone. */
export const ROSTER_SIZE = 32;
/** Members that write the roster. Two, so that it survives a writer that fails; both may write at once. */
const WRITER_COUNT = 2;
/** Without any change, a writer looks whether the roster is still right after this many periods. */
const RECHECK_PERIODS = 20;
const OBJECT_TIMEOUT_MS: Milliseconds = 5000;
/** The wait between two reads doubles up to this many times. */
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

/** Key of a zone's roster in the object store. */
export const formatRosterKey = (zone: ZoneName): string => `membership/roster/${zone}`;

/** Reads of one zone's roster since a node of the zone was last heard. */
interface RosterReads {
    readonly count: number;
    readonly nextAt: Milliseconds;
}

export interface RosterKeeper {
    /**
     * Writes the own zone's roster if it is this node's turn and the roster changed, or if this node has heard that the
     * store was restored from a copy. `receive` is called with what stood in it before: parts of a zone that do not
     * know each other meet through who writes it.
     */
    readonly poll: (receive: (entries: readonly Contact[]) => void, signal: AbortSignal) => void;
    /** Reads a zone's roster, ever more seldom the more often it was in vain. `receive` is called only with entries. */
    readonly read: (zone: ZoneName, receive: (entries: readonly Contact[]) => void, signal: AbortSignal) => void;
    /** A node of the zone answered: the next read need not wait. */
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
 * The roster that should be there, given the one that is. Entries of others are kept while there is room: a writer that
 * is cut off from most of its zone would otherwise leave a roster of itself alone.
 */
export const composeRoster = (
    zone: ZoneName,
    ranked: readonly Member[],
    hasLeft: (id: NodeId) => boolean,
    existing: Roster | undefined,
): Roster => {
    const local = ranked.slice(0, ROSTER_SIZE).map(({ id, address, controlPort }) => ({ id, address, controlPort }));
    const localIds = new Set(local.map((entry) => entry.id));
    const retained = (existing?.members ?? []).filter((entry) => !localIds.has(entry.id) && !hasLeft(entry.id));
    return { zone, members: [...local, ...retained].slice(0, ROSTER_SIZE).sort(compareIds) };
};

/** Calls to the object store run in the background; a failed one is counted and tried again later. */
export const createRosterKeeper = (dependencies: RosterDependencies): RosterKeeper => {
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
        const limit = startTimeLimit(clock, OBJECT_TIMEOUT_MS, signal);
        const result = await call(limit.signal);
        limit.cancel();
        return result;
    };

    const load = async (rosterZone: ZoneName, signal: AbortSignal): Promise<Roster | undefined | "Failed"> => {
        const body = await callWithTimeout(signal, (inTime) =>
            objectStore.get(formatRosterKey(rosterZone), inTime)());
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
        // Taken before the roster is written: a restore in between may lose it again.
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
        const written = await callWithTimeout(signal, (inTime) => objectStore.put(key, Buffer.from(text), inTime)());
        if (either.isLeft(written)) {
            statistics.countEvent("rosterFailed");
            handleFailure();
            return;
        }
        statistics.countEvent("rosterWritten");
        restoreCheck.markComplete(era);
    };

    const poll: RosterKeeper["poll"] = (receive, signal) => {
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
        // Few nodes hear of a restore, by calls of their own; the writers by rank may make none for a long time.
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

    const read: RosterKeeper["read"] = (rosterZone, receive, signal) => {
        const now = clock.monotonic();
        const { count, nextAt } = reads.get(rosterZone) ?? { count: 0, nextAt: now };
        if (now < nextAt) {
            return;
        }
        // Without doubling and jitter, the nodes of a region that is cut off from another one would read the rosters
        // of all its zones for as long as the cut lasts, and thousands of them at the same moments.
        const wait = periodMs * 2 ** Math.min(count, MAX_DOUBLINGS) * (1 + random()) / 2;
        reads.set(rosterZone, { count: count + 1, nextAt: now + wait });
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
