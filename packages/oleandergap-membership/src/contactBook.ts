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
import { endpointOf } from "./prober.js";

/** Contacts remembered per zone, live and unanswered ones together. */
const MAX_KNOWN_PER_ZONE = 12;
/** A contact with more unanswered probes in a row is not counted on, and gives way when there are too many. */
const MAX_MISSES = 2;
const MAX_ZONES = 64;
/** Turns in which seeds and contacts that were known before may answer. */
const TURNS_FOR_KNOWN = 2;
/**
 * A zone that was probed outside of its turn, as for a digest of its targets, within this part of the distance of two
 * turns is not probed again: the answer would tell nothing new, and with services in use in all zones that is most of
 * the probes.
 */
const FRESH_SHARE = 0.5;
const SEQUENCE_LIMIT = 2 ** 32;

interface KnownContact {
    readonly contact: Contact;
    /** Probes since its last answer; undefined while it never answered. */
    misses: number | undefined;
    probedAt: Milliseconds;
}

interface ZoneContacts {
    readonly name: ZoneName;
    readonly known: Map<NodeId, KnownContact>;
    /** Turns in a row in which no contact was live. */
    silentTurns: number;
    probedAt: Milliseconds;
}

/** Contacts by zone. Only `poll` and `probeZone` send; all else is bookkeeping. */
export interface ContactBook {
    readonly poll: (signal: AbortSignal) => void;
    /** Probes a contact of the zone, outside of the turns; returns the probe's sequence, or undefined without any. */
    readonly probeZone: (zone: ZoneName) => number | undefined;
    /** Notes that a node of another zone was heard. */
    readonly hear: (contact: Contact) => void;
    /** Notes that a contact failed to answer another part of this node; it goes last until it is heard again. */
    readonly reportSilent: (contact: Contact) => void;
    /** Adds zones of which nobody was heard yet. */
    readonly addZones: (zones: readonly ZoneName[]) => void;
    /** Adds nodes that others named; they count only once they answer. */
    readonly suggest: (contacts: readonly Contact[]) => void;
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    readonly zones: () => readonly ZoneName[];
}

export interface ContactBookDependencies {
    readonly selfId: NodeId;
    readonly ownZone: ZoneName;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly messenger: Messenger;
    readonly sources: ContactSources;
}

const isLive = (known: KnownContact): boolean => known.misses !== undefined && known.misses <= MAX_MISSES;

const listLive = (zone: ZoneContacts): readonly KnownContact[] => [...zone.known.values()].filter(isLive);

/** Fewest misses first; those that never answered last. */
const compareByMisses = (left: KnownContact, right: KnownContact): number =>
    (left.misses ?? Number.MAX_SAFE_INTEGER) - (right.misses ?? Number.MAX_SAFE_INTEGER);

const countMiss = (known: KnownContact): void => {
    known.misses = known.misses === undefined ? undefined : known.misses + 1;
};

const makeRoom = ({ known }: ZoneContacts): boolean => {
    if (known.size < MAX_KNOWN_PER_ZONE) {
        return true;
    }
    const dispensable = [...known.values()].filter((entry) => !isLive(entry)).sort(compareByMisses).at(-1);
    return dispensable !== undefined && known.delete(dispensable.contact.id);
};

/** Starts with the zones of the seeds; others follow as their nodes are heard or `addZones` names them. */
export const createContactBook = (dependencies: ContactBookDependencies): ContactBook => {
    const { ownZone, clock, random, options, messenger, sources } = dependencies;
    const book = new Map<ZoneName, ZoneContacts>();
    let zoneTurn = 0;
    // At random, so that late answers to a former process at this address fit no probe of this one.
    let sequence = pickIndex(random, SEQUENCE_LIMIT);
    let nextProbeAt = clock.monotonic() + random() * options.contactProbePeriodMs;

    const openZone = (name: ZoneName): ZoneContacts | undefined => {
        const opened = book.get(name);
        if (opened !== undefined || name === ownZone || book.size >= MAX_ZONES) {
            return opened;
        }
        const created = { name, known: new Map<NodeId, KnownContact>(), silentTurns: 0, probedAt: 0 };
        book.set(name, created);
        return created;
    };

    const add = (contact: Contact, misses: number | undefined): void => {
        const zone = openZone(contact.zone);
        if (zone === undefined || !zone.known.has(contact.id) && !makeRoom(zone)) {
            return;
        }
        const probedAt = zone.known.get(contact.id)?.probedAt ?? 0;
        zone.known.set(contact.id, { contact, misses, probedAt });
    };

    const suggest = (contacts: readonly Contact[]): void => {
        contacts
            .filter((contact) => book.get(contact.zone)?.known.has(contact.id) !== true)
            .forEach((contact) => {
                add(contact, undefined);
            });
    };

    /** The contact that waits longest, so that all take turns and unanswered ones are tried again. */
    const nextContact = (zone: ZoneContacts): KnownContact | undefined => {
        const live = listLive(zone);
        const pool = live.length >= options.contactsPerZone ? live : [...zone.known.values()];
        return [...pool].sort((left, right) => left.probedAt - right.probedAt)[0];
    };

    const probe = (zone: ZoneContacts, now: Milliseconds): number => {
        const liveCount = listLive(zone).length;
        sequence = (sequence + 1) % SEQUENCE_LIMIT;
        zone.probedAt = now;
        const body = { kind: "ContactProbe", sequence, wanted: liveCount < options.contactsPerZone } as const;
        const next = nextContact(zone);
        if (next !== undefined) {
            next.probedAt = now;
            countMiss(next);
            messenger.send(endpointOf(next.contact), body);
        }
        const seed = pickOne(random, options.seeds.filter((candidate) => candidate.zone === zone.name));
        if (liveCount === 0 && seed !== undefined) {
            messenger.send(seed, body);
        }
        return sequence;
    };

    /** Seeds and known contacts come first, if there are any: others are looked for when none of them answers. */
    const searchIfSilent = (zone: ZoneContacts, signal: AbortSignal): void => {
        if (listLive(zone).length > 0) {
            zone.silentTurns = 0;
            sources.resetBackoff(zone.name);
            return;
        }
        zone.silentTurns += 1;
        const hasHope = zone.known.size > 0 || options.seeds.some((seed) => seed.zone === zone.name);
        if (!hasHope || zone.silentTurns > TURNS_FOR_KNOWN) {
            sources.find({ zone: zone.name, silentTurns: zone.silentTurns, receive: suggest }, signal);
        }
    };

    const poll = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        if (now < nextProbeAt) {
            return;
        }
        nextProbeAt = now + options.contactProbePeriodMs * (0.75 + random() / 2);
        const zone = [...book.values()][zoneTurn % Math.max(1, book.size)];
        zoneTurn += 1;
        if (zone !== undefined) {
            searchIfSilent(zone, signal);
            const isFresh = now - zone.probedAt < options.contactProbePeriodMs * book.size * FRESH_SHARE;
            if (!isFresh || listLive(zone).length === 0) {
                probe(zone, now);
            }
        }
    };

    /** Shuffled among equals, so that one that hangs does not stand first each time. */
    const contactsOf = (name: ZoneName): readonly Contact[] => {
        const known = [...book.get(name)?.known.values() ?? []];
        return [...pickSeveral(random, known, known.length)]
            .sort(compareByMisses)
            .slice(0, options.contactsPerZone)
            .map((entry) => entry.contact);
    };

    options.seeds.forEach((seed) => openZone(seed.zone));
    return {
        poll,
        probeZone: (name) => {
            const zone = book.get(name);
            return zone === undefined || zone.known.size === 0 ? undefined : probe(zone, clock.monotonic());
        },
        hear: (contact) => {
            add(contact, 0);
        },
        reportSilent: (contact) => {
            const known = book.get(contact.zone)?.known.get(contact.id);
            if (known !== undefined) {
                countMiss(known);
            }
        },
        addZones: (zones) => {
            zones.forEach(openZone);
        },
        suggest,
        contactsOf,
        zones: () => [...book.keys()],
    };
};
