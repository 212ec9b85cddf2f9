/**
 * Finds contacts in an availability zone that has no known contacts.
 *
 * The roster of the zone in the object store lists some of its members. If each node read every roster, the platform
 * would receive one call per node and zone within seconds after the start of a fleet, nearly a thousand calls for 195
 * nodes in five zones. Therefore only a few members of each zone read rosters, and the other members request the
 * contacts of all zones from them. For 36 nodes in three zones, this reduces the reads during the start from 110 to 26.
 */
import type { Clock, Member, Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import { pickOne, rankByRendezvous, type Random } from "oleandergap-utils";
import type { MemberTable } from "./memberTable.js";
import type { Contact, FetchContacts } from "./membershipTypes.js";
import type { RosterManager } from "./roster.js";

/**
 * Number of members per zone that read the rosters of remote zones. With two of them, one may be dead or disconnected.
 */
const ROSTER_READER_COUNT = 2;
/**
 * Number of rounds without a live contact after which a node reads the roster itself, because the roster readers have
 * provided none.
 */
const ROUNDS_BEFORE_ROSTER_READ = 4;
/**
 * Number of rounds in which the members of a starting zone discover each other, so that they select the same roster
 * readers.
 */
const ROUNDS_TO_CONVERGE = 2;
/** Shortest time between two requests to roster readers. Each request covers all zones. */
const MIN_REQUEST_INTERVAL_MS: Milliseconds = 500;
/** Key for rendezvous hashing. It is the same on every node, so that all nodes select the same roster readers. */
const RENDEZVOUS_KEY = "contacts";

/** Sources of contacts for zones without a live contact. */
export interface ContactSources {
    /** Starts a search. `receive` is called with the contacts that were found, which may belong to any zone. */
    readonly find: (search: ContactSearch, signal: AbortSignal) => void;
    /**
     * Resets the backoff of roster reads after a node of the zone has responded, so that the next search starts without
     * a delay.
     */
    readonly resetBackoff: (zone: ZoneName) => void;
}

/** Search for contacts of one zone. */
export interface ContactSearch {
    readonly zone: ZoneName;
    /** Number of consecutive rounds without a live contact in the zone, including the current round. */
    readonly roundsWithoutLiveContact: number;
    readonly receive: (contacts: readonly Contact[]) => void;
}

/** Dependencies of the contact sources. Without a roster or `fetchContacts`, the corresponding source is not used. */
export interface ContactSourcesDependencies {
    readonly selfId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MemberTable;
    readonly roster: RosterManager | undefined;
    readonly fetchContacts: FetchContacts | undefined;
}

/**
 * Creates the contact sources. A failed request is not repeated immediately; the next round sends another one, possibly
 * to a different roster reader.
 */
export const createContactSources = (dependencies: ContactSourcesDependencies): ContactSources => {
    const { selfId, clock, random, table, roster, fetchContacts } = dependencies;
    let nextRequestAt = clock.monotonic();

    /**
     * Returns the roster readers of the local zone. The list is empty while too few members of the local zone are
     * known, because otherwise every starting node would consider itself a reader.
     */
    const listReaders = (): readonly Member[] => {
        const alive = table.listActive().filter(({ state }) => state === "alive");
        return alive.length < ROSTER_READER_COUNT ?
            [] :
            rankByRendezvous(RENDEZVOUS_KEY, alive, ({ id }) => id).slice(0, ROSTER_READER_COUNT);
    };

    const requestContacts = (
        reader: Member | undefined,
        fetch: FetchContacts,
        { receive }: ContactSearch,
        signal: AbortSignal,
    ): void => {
        const now = clock.monotonic();
        if (reader === undefined || now < nextRequestAt) {
            return;
        }
        nextRequestAt = now + MIN_REQUEST_INTERVAL_MS;
        void fetch(reader, signal).then(receive);
    };

    return {
        find: (search, signal) => {
            const readers = listReaders();
            const isReader = readers.some(({ id }) => id === selfId);
            const mustReadRoster =
                fetchContacts === undefined || search.roundsWithoutLiveContact >= ROUNDS_BEFORE_ROSTER_READ;
            if (mustReadRoster || isReader && search.roundsWithoutLiveContact >= ROUNDS_TO_CONVERGE) {
                roster?.read(search.zone, search.receive, signal);
            }
            if (!isReader && fetchContacts !== undefined) {
                requestContacts(pickOne(random, readers), fetchContacts, search, signal);
            }
        },
        resetBackoff: (zone) => roster?.resetBackoff(zone),
    };
};
