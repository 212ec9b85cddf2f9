/**
 * A few nodes of each other availability zone, over which configuration heads cross zones and other zones' targets are
 * fetched. One contact is probed per period, whatever the number of zones or nodes.
 */
import type { Clock, Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import { pickIndex, pickOne, pickSeveral, type Random } from "oleandergap-utils";
import type { ContactSources } from "./contactSources.js";
import type { Contact } from "./membershipTypes.js";
import type { Messenger } from "./messenger.js";
import type { MembershipOptions } from "./options.js";
import { getControlEndpoint } from "./prober.js";

/** Contacts remembered per zone, live and unanswered ones together. */
const MAX_KNOWN_PER_ZONE = 12;
/** A contact with more unanswered probes in a row is not counted on, and gives way when there are too many. */
const MAX_MISSED_PROBES = 2;
const MAX_ZONES = 64;
/** Turns in which seeds and contacts that were known before may answer. */
const ROUNDS_FOR_KNOWN_CONTACTS = 2;
/**
 * A zone that was probed outside of its turn, as for a digest of its targets, within this part of the distance of two
 * turns is not probed again: the answer would tell nothing new, and with services in use in all zones that is most of
 * the probes.
 */
const RECENT_PROBE_FRACTION = 0.5;
const SEQUENCE_LIMIT = 2 ** 32;

interface KnownContact {
    readonly contact: Contact;
    /** Probes since its last answer; undefined while it never answered. */
    missedProbes: number | undefined;
    probedAt: Milliseconds;
}

interface ZoneContacts {
    readonly name: ZoneName;
    readonly contacts: Map<NodeId, KnownContact>;
    /** Turns in a row in which no contact was live. */
    roundsWithoutLiveContact: number;
    probedAt: Milliseconds;
}

/** Contacts by zone. Only `poll` and `probeZone` send; all else is bookkeeping. */
export interface ContactBook {
    readonly poll: (signal: AbortSignal) => void;
    /** Probes a contact of the zone, outside of the turns; returns the probe's sequence, or undefined without any. */
    readonly probeZone: (zone: ZoneName) => number | undefined;
    /** Notes that a node of another zone was heard. */
    readonly markLive: (contact: Contact) => void;
    /** Notes that a contact failed to answer another part of this node; it goes last until it is heard again. */
    readonly markUnresponsive: (contact: Contact) => void;
    /** Adds zones of which nobody was heard yet. */
    readonly addZones: (zones: readonly ZoneName[]) => void;
    /** Adds nodes that others named; they count only once they answer. */
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

const isLive = (known: KnownContact): boolean => known.missedProbes !== undefined && known.missedProbes <= MAX_MISSED_PROBES;

const listLive = (zone: ZoneContacts): readonly KnownContact[] => [...zone.contacts.values()].filter(isLive);

/** Fewest misses first; those that never answered last. */
const compareByMissedProbes = (left: KnownContact, right: KnownContact): number =>
    (left.missedProbes ?? Number.MAX_SAFE_INTEGER) - (right.missedProbes ?? Number.MAX_SAFE_INTEGER);

const incrementMissedProbes = (known: KnownContact): void => {
    known.missedProbes = known.missedProbes === undefined ? undefined : known.missedProbes + 1;
};

const ensureCapacity = ({ contacts }: ZoneContacts): boolean => {
    if (contacts.size < MAX_KNOWN_PER_ZONE) {
        return true;
    }
    const evictionCandidate = [...contacts.values()].filter((entry) => !isLive(entry)).sort(compareByMissedProbes).at(-1);
    return evictionCandidate !== undefined && contacts.delete(evictionCandidate.contact.id);
};

/** Starts with the zones of the seeds; others follow as their nodes are heard or `addZones` names them. */
export const createContactBook = (dependencies: ContactBookDependencies): ContactBook => {
    const { localZone, clock, random, options, messenger, sources } = dependencies;
    const zonesByName = new Map<ZoneName, ZoneContacts>();
    let roundIndex = 0;
    // At random, so that late answers to a former process at this address fit no probe of this one.
    let sequence = pickIndex(random, SEQUENCE_LIMIT);
    let nextProbeAt = clock.monotonic() + random() * options.contactProbePeriodMs;

    const getOrCreateZone = (name: ZoneName): ZoneContacts | undefined => {
        const existing = zonesByName.get(name);
        if (existing !== undefined || name === localZone || zonesByName.size >= MAX_ZONES) {
            return existing;
        }
        const created = { name, contacts: new Map<NodeId, KnownContact>(), roundsWithoutLiveContact: 0, probedAt: 0 };
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

    /** The contact that waits longest, so that all take turns and unanswered ones are tried again. */
    const selectNextContact = (zone: ZoneContacts): KnownContact | undefined => {
        const live = listLive(zone);
        const pool = live.length >= options.contactsPerZone ? live : [...zone.contacts.values()];
        return [...pool].sort((left, right) => left.probedAt - right.probedAt)[0];
    };

    const probe = (zone: ZoneContacts, now: Milliseconds): number => {
        const liveCount = listLive(zone).length;
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

    /** Seeds and known contacts come first, if there are any: others are looked for when none of them answers. */
    const searchIfUnresponsive = (zone: ZoneContacts, signal: AbortSignal): void => {
        if (listLive(zone).length > 0) {
            zone.roundsWithoutLiveContact = 0;
            sources.resetBackoff(zone.name);
            return;
        }
        zone.roundsWithoutLiveContact += 1;
        const hasKnownEndpoint = zone.contacts.size > 0 || options.seeds.some((seed) => seed.zone === zone.name);
        if (!hasKnownEndpoint || zone.roundsWithoutLiveContact > ROUNDS_FOR_KNOWN_CONTACTS) {
            sources.find({ zone: zone.name, roundsWithoutLiveContact: zone.roundsWithoutLiveContact, receive: addCandidates }, signal);
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
            const wasProbedRecently = now - zone.probedAt < options.contactProbePeriodMs * zonesByName.size * RECENT_PROBE_FRACTION;
            if (!wasProbedRecently || listLive(zone).length === 0) {
                probe(zone, now);
            }
        }
    };

    /** Shuffled among equals, so that one that hangs does not stand first each time. */
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
            const known = zonesByName.get(contact.zone)?.contacts.get(contact.id);
            if (known !== undefined) {
                incrementMissedProbes(known);
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
