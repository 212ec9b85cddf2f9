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
const ROSTER_READERS = 2;
/** Turns without any contact after which a node reads the roster itself, as nobody that it asked could help. */
const TURNS_BEFORE_ROSTER = 4;
/** Turns in which the members of a zone that starts meet, so that they agree on the readers. */
const TURNS_TO_MEET = 2;
/** Distance of two questions; each asks for all zones. */
const ASK_SPACING_MS: Milliseconds = 500;
/** The same at every node, so that all take the same members for the readers. */
const READERS_KEY = "contacts";

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
    readonly silentTurns: number;
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
    let nextAskAt = clock.monotonic();

    /** None while this node knows nobody of its own zone: every node would take itself for a reader then. */
    const listReaders = (): readonly Member[] => {
        const alive = table.present().filter(({ state }) => state === "alive");
        return alive.length < ROSTER_READERS ?
            [] :
            rankByRendezvous(READERS_KEY, alive, ({ id }) => id).slice(0, ROSTER_READERS);
    };

    const ask = (
        reader: Member | undefined,
        fetch: FetchContacts,
        { receive }: ContactSearch,
        signal: AbortSignal,
    ): void => {
        const now = clock.monotonic();
        if (reader === undefined || now < nextAskAt) {
            return;
        }
        nextAskAt = now + ASK_SPACING_MS;
        void fetch(reader, signal).then(receive);
    };

    return {
        find: (search, signal) => {
            const readers = listReaders();
            const isReader = readers.some(({ id }) => id === selfId);
            const mustRead = fetchContacts === undefined || search.silentTurns >= TURNS_BEFORE_ROSTER;
            if (mustRead || isReader && search.silentTurns >= TURNS_TO_MEET) {
                roster?.read(search.zone, search.receive, signal);
            }
            if (!isReader && fetchContacts !== undefined) {
                ask(pickOne(random, readers), fetchContacts, search, signal);
            }
        },
        resetBackoff: (zone) => roster?.resetBackoff(zone),
    };
};
