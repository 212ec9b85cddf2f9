/**
 * Maintains a few contact nodes in each remote availability zone. Configuration heads are exchanged with them, and the
 * targets of their zone are fetched from them. One contact is probed per period, regardless of the number of zones or
 * nodes.
 */
import type { Clock, Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import { pickIndex, pickOne, pickSeveral, type Random } from "oleandergap-utils";
import type { ContactSources } from "./contactSources.js";
import type { Contact } from "./membershipTypes.js";
import type { Messenger } from "./messenger.js";
import type { MembershipOptions } from "./options.js";
import { getControlEndpoint } from "./prober.js";

/** Largest number of contacts stored per zone, including contacts that do not respond. */
const MAX_CONTACTS_PER_ZONE = 12;
/**
 * A contact with more consecutive missed probes is no longer considered live and may be evicted when the zone is full.
 */
const MAX_MISSED_PROBES = 2;
const MAX_ZONES = 64;
/** Number of rounds without a live contact during which only seeds and stored contacts are probed. */
const ROUNDS_FOR_KNOWN_CONTACTS = 2;
/**
 * A zone is skipped in its round if it was probed within this fraction of the interval between two of its rounds, for
 * example to get the digest of its targets. The response would contain nothing new, and such probes are the majority
 * when services of all zones are in use.
 */
const RECENT_PROBE_FRACTION = 0.5;
const SEQUENCE_LIMIT = 2 ** 32;

interface ContactEntry {
    readonly contact: Contact;
    /** Number of probes since the last response, or undefined if the contact has never responded. */
    missedProbes: number | undefined;
    probedAt: Milliseconds;
}

interface ZoneContacts {
    readonly name: ZoneName;
    readonly contacts: Map<NodeId, ContactEntry>;
    /** Number of consecutive rounds in which the zone had no live contact. */
    roundsWithoutLiveContact: number;
    probedAt: Milliseconds;
}

/**
 * Contacts grouped by zone. Only `poll` and `probeZone` send datagrams; all other functions only change or read state.
 */
export interface ContactBook {
    readonly poll: (signal: AbortSignal) => void;
    /**
     * Probes a contact of the zone outside its regular rounds. Returns the sequence number of the probe, or undefined
     * if the zone has no contacts.
     */
    readonly probeZone: (zone: ZoneName) => number | undefined;
    /** Records that a datagram arrived from a node of a remote zone, and resets its missed probes. */
    readonly markLive: (contact: Contact) => void;
    /**
     * Records that a contact did not respond to another component of this node. The contact loses priority until its
     * next datagram.
     */
    readonly markUnresponsive: (contact: Contact) => void;
    /** Adds zones that have no known contacts yet. */
    readonly addZones: (zones: readonly ZoneName[]) => void;
    /** Adds nodes that were suggested by other nodes. They are not considered live until they respond. */
    readonly addCandidates: (contacts: readonly Contact[]) => void;
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    readonly zones: () => readonly ZoneName[];
}

export interface ContactBookDependencies {
    readonly selfId: NodeId;
    readonly localZone: ZoneName;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly messenger: Messenger;
    readonly sources: ContactSources;
}

const isLive = (entry: ContactEntry): boolean =>
    entry.missedProbes !== undefined && entry.missedProbes <= MAX_MISSED_PROBES;

const listLiveContacts = (zone: ZoneContacts): readonly ContactEntry[] => [...zone.contacts.values()].filter(isLive);

/** Sorts contacts by ascending number of missed probes. Contacts that have never responded come last. */
const compareByMissedProbes = (left: ContactEntry, right: ContactEntry): number =>
    (left.missedProbes ?? Number.MAX_SAFE_INTEGER) - (right.missedProbes ?? Number.MAX_SAFE_INTEGER);

const incrementMissedProbes = (entry: ContactEntry): void => {
    entry.missedProbes = entry.missedProbes === undefined ? undefined : entry.missedProbes + 1;
};

const ensureCapacity = ({ contacts }: ZoneContacts): boolean => {
    if (contacts.size < MAX_CONTACTS_PER_ZONE) {
        return true;
    }
    const evictionCandidate = [...contacts.values()]
        .filter((entry) => !isLive(entry))
        .sort(compareByMissedProbes)
        .at(-1);
    return evictionCandidate !== undefined && contacts.delete(evictionCandidate.contact.id);
};

/**
 * Creates a contact book that starts with the zones of the seeds. Further zones are added when their nodes send
 * datagrams or when `addZones` is called.
 */
export const createContactBook = (dependencies: ContactBookDependencies): ContactBook => {
    const { localZone, clock, random, options, messenger, sources } = dependencies;
    const zonesByName = new Map<ZoneName, ZoneContacts>();
    let roundIndex = 0;
    // A random start value prevents late responses to a previous process at this address from matching a probe of this
    // process.
    let sequence = pickIndex(random, SEQUENCE_LIMIT);
    let nextProbeAt = clock.monotonic() + random() * options.contactProbePeriodMs;

    const getOrCreateZone = (name: ZoneName): ZoneContacts | undefined => {
        const existing = zonesByName.get(name);
        if (existing !== undefined || name === localZone || zonesByName.size >= MAX_ZONES) {
            return existing;
        }
        const created = { name, contacts: new Map<NodeId, ContactEntry>(), roundsWithoutLiveContact: 0, probedAt: 0 };
        zonesByName.set(name, created);
        return created;
    };

    const add = (contact: Contact, missedProbes: number | undefined): void => {
        const zone = getOrCreateZone(contact.zone);
        if (zone === undefined || !zone.contacts.has(contact.id) && !ensureCapacity(zone)) {
            return;
        }
        const probedAt = zone.contacts.get(contact.id)?.probedAt ?? 0;
        zone.contacts.set(contact.id, { contact, missedProbes, probedAt });
    };

    const addCandidates = (contacts: readonly Contact[]): void => {
        contacts
            .filter((contact) => zonesByName.get(contact.zone)?.contacts.has(contact.id) !== true)
            .forEach((contact) => {
                add(contact, undefined);
            });
    };

    /**
     * Returns the least recently probed contact, so that all contacts are probed in turn and unresponsive ones are
     * retried.
     */
    const selectNextContact = (zone: ZoneContacts): ContactEntry | undefined => {
        const live = listLiveContacts(zone);
        const pool = live.length >= options.contactsPerZone ? live : [...zone.contacts.values()];
        return [...pool].sort((left, right) => left.probedAt - right.probedAt)[0];
    };

    const probe = (zone: ZoneContacts, now: Milliseconds): number => {
        const liveCount = listLiveContacts(zone).length;
        sequence = (sequence + 1) % SEQUENCE_LIMIT;
        zone.probedAt = now;
        const body = { kind: "ContactProbe", sequence, needsContacts: liveCount < options.contactsPerZone } as const;
        const next = selectNextContact(zone);
        if (next !== undefined) {
            next.probedAt = now;
            incrementMissedProbes(next);
            messenger.send(getControlEndpoint(next.contact), body);
        }
        const seed = pickOne(random, options.seeds.filter((candidate) => candidate.zone === zone.name));
        if (liveCount === 0 && seed !== undefined) {
            messenger.send(seed, body);
        }
        return sequence;
    };

    /**
     * Searches for new contacts if no contact of the zone is live. Seeds and stored contacts, if there are any, are
     * probed for `ROUNDS_FOR_KNOWN_CONTACTS` rounds first.
     */
    const searchIfUnresponsive = (zone: ZoneContacts, signal: AbortSignal): void => {
        if (listLiveContacts(zone).length > 0) {
            zone.roundsWithoutLiveContact = 0;
            sources.resetBackoff(zone.name);
            return;
        }
        zone.roundsWithoutLiveContact += 1;
        const hasKnownEndpoint = zone.contacts.size > 0 || options.seeds.some((seed) => seed.zone === zone.name);
        if (!hasKnownEndpoint || zone.roundsWithoutLiveContact > ROUNDS_FOR_KNOWN_CONTACTS) {
            sources.find(
                { zone: zone.name, roundsWithoutLiveContact: zone.roundsWithoutLiveContact, receive: addCandidates },
                signal,
            );
        }
    };

    const poll = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        if (now < nextProbeAt) {
            return;
        }
        nextProbeAt = now + options.contactProbePeriodMs * (0.75 + random() / 2);
        const zone = [...zonesByName.values()][roundIndex % Math.max(1, zonesByName.size)];
        roundIndex += 1;
        if (zone !== undefined) {
            searchIfUnresponsive(zone, signal);
            const wasProbedRecently =
                now - zone.probedAt < options.contactProbePeriodMs * zonesByName.size * RECENT_PROBE_FRACTION;
            if (!wasProbedRecently || listLiveContacts(zone).length === 0) {
                probe(zone, now);
            }
        }
    };

    /**
     * Returns contacts of a zone, those with the fewest missed probes first. Contacts with the same count are shuffled,
     * so that a contact that hangs is not always the first one.
     */
    const contactsOf = (name: ZoneName): readonly Contact[] => {
        const entries = [...zonesByName.get(name)?.contacts.values() ?? []];
        return [...pickSeveral(random, entries, entries.length)]
            .sort(compareByMissedProbes)
            .slice(0, options.contactsPerZone)
            .map((entry) => entry.contact);
    };

    options.seeds.forEach((seed) => getOrCreateZone(seed.zone));
    return {
        poll,
        probeZone: (name) => {
            const zone = zonesByName.get(name);
            return zone === undefined || zone.contacts.size === 0 ? undefined : probe(zone, clock.monotonic());
        },
        markLive: (contact) => {
            add(contact, 0);
        },
        markUnresponsive: (contact) => {
            const entry = zonesByName.get(contact.zone)?.contacts.get(contact.id);
            if (entry !== undefined) {
                incrementMissedProbes(entry);
            }
        },
        addZones: (zones) => {
            zones.forEach(getOrCreateZone);
        },
        addCandidates,
        contactsOf,
        zones: () => [...zonesByName.keys()],
    };
};
