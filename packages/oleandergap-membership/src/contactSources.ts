/**
 * Finds contacts in an availability zone of which nobody is known.
 *
 * Its roster in the object store names some, but if each node read it, the platform would get as many calls as there
 * are nodes times zones, all within seconds after a fleet started; one would see nearly a thousand for 195 nodes in
 * five zones. So a few members of each zone read rosters, and the others ask these, for all zones at once: 26 reads
 * instead of 110 for 36 nodes in three zones (model in memory, eight seconds from the start).
 */
import type { Clock, Member, Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import { pickOne, rankByRendezvous, type Random } from "oleandergap-utils";
import type { MemberTable } from "./memberTable.js";
import type { Contact, FetchContacts } from "./membershipTypes.js";
import type { RosterKeeper } from "./roster.js";

/** Members of a zone that read other zones' rosters. Two, so that one of them may be dead or cut off. */
const ROSTER_READER_COUNT = 2;
/** Turns without any contact after which a node reads the roster itself, as nobody that it asked could help. */
const ROUNDS_BEFORE_ROSTER_READ = 4;
/** Turns in which the members of a zone that starts meet, so that they agree on the readers. */
const ROUNDS_TO_CONVERGE = 2;
/** Distance of two questions; each asks for all zones. */
const MIN_REQUEST_INTERVAL_MS: Milliseconds = 500;
/** The same at every node, so that all take the same members for the readers. */
const RENDEZVOUS_KEY = "contacts";

/** Where contacts of a silent zone come from. */
export interface ContactSources {
    /** Starts to look for contacts; `receive` is called with what was found, of this zone or of others. */
    readonly find: (search: ContactSearch, signal: AbortSignal) => void;
    /** A node of the zone answered: the next search need not wait. */
    readonly resetBackoff: (zone: ZoneName) => void;
}

/** A search for contacts of one zone. */
export interface ContactSearch {
    readonly zone: ZoneName;
    /** Turns in a row in which no contact of the zone was live, this one included. */
    readonly roundsWithoutLiveContact: number;
    readonly receive: (contacts: readonly Contact[]) => void;
}

/** What the sources work with; without a roster or members that can be asked, they find less. */
export interface ContactSourcesDependencies {
    readonly selfId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MemberTable;
    readonly roster: RosterKeeper | undefined;
    readonly fetchContacts: FetchContacts | undefined;
}

/** A failed question is not repeated at once: the next turn asks again, perhaps somebody else. */
export const createContactSources = (dependencies: ContactSourcesDependencies): ContactSources => {
    const { selfId, clock, random, table, roster, fetchContacts } = dependencies;
    let nextRequestAt = clock.monotonic();

    /** None while this node knows nobody of its own zone: every node would take itself for a reader then. */
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
            const mustReadRoster = fetchContacts === undefined || search.roundsWithoutLiveContact >= ROUNDS_BEFORE_ROSTER_READ;
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
