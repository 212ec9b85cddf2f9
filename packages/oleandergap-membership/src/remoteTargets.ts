/**
 * The targets of one other availability zone, fetched for the services in use. Each turn first asks a contact by one
 * datagram for the digest of the zone's targets; the fetch over a connection, which costs many times more, is left out
 * when the digest is the one that came with the last fetch. Without that very answer the turn ends in a fetch, so that
 * a lost datagram, a dead contact or one that cannot vouch for its zone costs bytes, and never delays the news.
 *
 * While the zone cannot be reached, what was last fetched is kept: the gates refuse what no longer holds, and an empty
 * list would refuse what still does.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, ServiceReference, ZoneName } from "oleandergap-types";
import { startTimeLimit, type Random } from "oleandergap-utils";
import type { TargetDirectoryOptions } from "./options.js";
import {
    MAX_SERVICES_PER_REQUEST,
    type FetchZone,
    type TargetMember,
    type ZoneTargetsAnswer,
} from "./targetDirectoryTypes.js";
import type { ZoneDigest } from "./zoneDigests.js";

/** Shortest time between two fetches, so that contacts that disagree for a while do not cause a storm. */
const MIN_FETCH_INTERVAL_MS: Milliseconds = 500;
const MIN_PERIOD_FRACTION = 0.75;
const NO_TARGETS: readonly TargetMember[] = [];

interface RemoteService {
    readonly service: ServiceReference;
    usedAt: Milliseconds;
    digest: string | undefined;
    targets: readonly TargetMember[];
}

/** A contact was asked for the zone's digest. */
interface DigestProbe {
    readonly sequence: number;
    readonly sentAt: Milliseconds;
}

/** What the lists held were last known to correspond to. */
interface FetchedDigest {
    readonly digest: number;
    readonly fetchedAt: Milliseconds;
}

export interface RemoteTargets {
    /** The targets as last fetched; marks the service as in use. `key` identifies the service. */
    readonly targetsOf: (service: ServiceReference, key: string) => readonly TargetMember[];
    /** Asks a contact or starts a fetch, if one is due. */
    readonly poll: (signal: AbortSignal) => void;
    /** Takes what a contact of the zone said of the zone's targets; late, doubled and crossed answers do no harm. */
    readonly hearDigest: (received: Pick<ZoneDigest, "sequence" | "digest">) => void;
    readonly size: () => number;
}

export interface RemoteTargetsDependencies {
    readonly zone: ZoneName;
    readonly fetchZone: FetchZone;
    /** Asks a contact; returns the sequence that its answer will carry, or undefined when no contact is known. */
    readonly probeZone: () => number | undefined;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: TargetDirectoryOptions;
    /** Called after each fetch. */
    readonly onFetched: (succeeded: boolean) => void;
    /** Called when a fetch was left out. */
    readonly onSkipped: () => void;
}

const applyAnswer = (requested: readonly RemoteService[], answer: ZoneTargetsAnswer): void => {
    requested.forEach((remoteService, index) => {
        const part = answer.services[index];
        if (part?.kind === "Changed") {
            remoteService.digest = part.digest;
            remoteService.targets = part.targets;
        }
    });
};

/** The answer's digest, if it speaks for every list that was asked for. */
const selectZoneDigest = (requested: readonly RemoteService[], answer: ZoneTargetsAnswer): number | undefined =>
    answer.services.length === requested.length ? answer.zoneDigest : undefined;

/** At most one fetch is under way at a time. */
export const createRemoteTargets = (dependencies: RemoteTargetsDependencies): RemoteTargets => {
    const { zone, fetchZone, probeZone, clock, random, options, onFetched, onSkipped } = dependencies;
    const services = new Map<string, RemoteService>();
    let nextRefreshAt = clock.monotonic();
    let lastFetchAt = Number.NEGATIVE_INFINITY;
    let isFetching = false;
    /** The lists may be out of date, whatever a contact confirms. */
    let isFetchRequired = true;
    let fetchedDigest: FetchedDigest | undefined;
    let pendingProbe: DigestProbe | undefined;

    const drawPeriod = (): Milliseconds =>
        options.refreshPeriodMs * (MIN_PERIOD_FRACTION + (1 - MIN_PERIOD_FRACTION) * random());

    const requireFetch = (at: Milliseconds): void => {
        isFetchRequired = true;
        pendingProbe = undefined;
        nextRefreshAt = Math.min(nextRefreshAt, at);
    };

    const removeUnused = (now: Milliseconds): void => {
        for (const [key, remoteService] of services) {
            if (now - remoteService.usedAt > options.forgetMs) {
                services.delete(key);
            }
        }
    };

    const listServicesInUse = (now: Milliseconds): readonly RemoteService[] =>
        [...services.values()]
            .filter((remoteService) => now - remoteService.usedAt <= options.idleMs)
            .slice(0, MAX_SERVICES_PER_REQUEST);

    const applyFetched = (requested: readonly RemoteService[], answer: ZoneTargetsAnswer, startedAt: Milliseconds): void => {
        applyAnswer(requested, answer);
        const digest = selectZoneDigest(requested, answer);
        fetchedDigest = digest === undefined ? undefined : { digest, fetchedAt: startedAt };
    };

    const fetch = async (requested: readonly RemoteService[], signal: AbortSignal): Promise<void> => {
        const request = {
            zone,
            services: requested.map(({ service, digest }) =>
                digest === undefined ? service : { ...service, knownDigest: digest }),
        };
        const startedAt = clock.monotonic();
        const limit = startTimeLimit(clock, options.fetchTimeoutMs, signal);
        try {
            const answer = await fetchZone(zone, request, limit.signal)();
            if (either.isRight(answer)) {
                applyFetched(requested, answer.right, startedAt);
            }
            isFetchRequired ||= either.isLeft(answer);
            onFetched(either.isRight(answer));
        }
        catch {
            isFetchRequired = true;
            onFetched(false);
        }
        finally {
            limit.cancel();
            isFetching = false;
        }
    };

    const startFetch = (now: Milliseconds, signal: AbortSignal): void => {
        nextRefreshAt = now + drawPeriod();
        pendingProbe = undefined;
        const requested = listServicesInUse(now);
        if (requested.length > 0) {
            isFetching = true;
            lastFetchAt = now;
            // Whatever asks for a fetch while this one is under way may concern what this one does not bring.
            isFetchRequired = false;
            void fetch(requested, signal);
        }
    };

    /** Whether a contact's word would do, and one was asked for it. */
    const tryProbeContact = (now: Milliseconds): boolean => {
        const canProbe = !isFetchRequired && fetchedDigest !== undefined && now - fetchedDigest.fetchedAt < options.fullRefreshMs;
        const sequence = canProbe && listServicesInUse(now).length > 0 ? probeZone() : undefined;
        pendingProbe = sequence === undefined ? undefined : { sequence, sentAt: now };
        return pendingProbe !== undefined;
    };

    const poll = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        if (isFetching) {
            return;
        }
        if (pendingProbe !== undefined) {
            if (now - pendingProbe.sentAt >= options.confirmTimeoutMs) {
                startFetch(now, signal);
            }
            return;
        }
        if (now >= nextRefreshAt) {
            removeUnused(now);
            if (!tryProbeContact(now)) {
                startFetch(now, signal);
            }
        }
    };

    const hearDigest: RemoteTargets["hearDigest"] = ({ sequence, digest }) => {
        if (fetchedDigest !== undefined && digest !== fetchedDigest.digest) {
            requireFetch(Math.max(clock.monotonic(), lastFetchAt + MIN_FETCH_INTERVAL_MS));
        }
        // Only the answer to the present question counts: an older one may have been sent before a change.
        else if (fetchedDigest !== undefined && sequence === pendingProbe?.sequence) {
            // The next question leaves time for a fetch in its place, should it stay without an answer.
            nextRefreshAt = pendingProbe.sentAt + Math.max(0, drawPeriod() - options.confirmTimeoutMs);
            pendingProbe = undefined;
            onSkipped();
        }
    };

    const targetsOf: RemoteTargets["targetsOf"] = (service, key) => {
        const now = clock.monotonic();
        const remoteService = services.get(key);
        if (remoteService === undefined) {
            const { partner, service: name } = service;
            const added = { service: { partner, service: name }, usedAt: now, digest: undefined, targets: NO_TARGETS };
            services.set(key, added);
            requireFetch(now);
            return NO_TARGETS;
        }
        // The digest held stands for the lists in use only; this one was left out of the fetches meanwhile.
        if (now - remoteService.usedAt > options.idleMs) {
            requireFetch(now);
        }
        remoteService.usedAt = now;
        return remoteService.targets;
    };

    return { targetsOf, poll, hearDigest, size: () => services.size };
};
