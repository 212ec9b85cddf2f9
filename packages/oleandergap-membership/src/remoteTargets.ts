/**
 * Maintains the targets of one remote availability zone for the services in use. In each refresh, a contact probe first
 * requests the digest of the zone's targets in a single datagram. If the digest is equal to that of the last fetch, the
 * fetch over a connection, which costs many times more, is skipped. Without a matching reply to this very probe, the
 * refresh falls back to a fetch. A lost datagram, a dead contact or a contact with an incomplete member list therefore
 * costs bytes but never delays an update.
 *
 * While the zone is unreachable, the last fetched targets are kept. Gates reject requests to targets that no longer
 * exist, whereas with an empty list the requests to existing targets would be rejected as well.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, ServiceReference, ZoneName } from "oleandergap-types";
import { startTimeLimit, type Random } from "oleandergap-utils";
import type { TargetDirectoryOptions } from "./options.js";
import {
    MAX_SERVICES_PER_REQUEST,
    type FetchZone,
    type TargetMember,
    type ZoneTargetsResponse,
} from "./targetDirectoryTypes.js";
import type { ZoneDigest } from "./zoneDigests.js";

/** Shortest time between two fetches. It prevents excessive fetches while contacts temporarily disagree. */
const MIN_FETCH_INTERVAL_MS: Milliseconds = 500;
const MIN_PERIOD_FRACTION = 0.75;
const NO_TARGETS: readonly TargetMember[] = [];

interface RemoteService {
    readonly service: ServiceReference;
    usedAt: Milliseconds;
    digest: string | undefined;
    targets: readonly TargetMember[];
}

/** Contact probe that requested the digest of the zone's targets. */
interface DigestProbe {
    readonly sequence: number;
    readonly sentAt: Milliseconds;
}

/** Digest of the zone's targets at the time of the last fetch. */
interface FetchedDigest {
    readonly digest: number;
    readonly fetchedAt: Milliseconds;
}

export interface RemoteTargets {
    /** Returns the last fetched targets and marks the service as in use. `key` identifies the service. */
    readonly targetsOf: (service: ServiceReference, key: string) => readonly TargetMember[];
    /** Probes a contact or starts a fetch if one is due. */
    readonly poll: (signal: AbortSignal) => void;
    /** Processes the digest that a contact sent for its zone. Late, duplicate and reordered replies are tolerated. */
    readonly receiveDigest: (received: Pick<ZoneDigest, "sequence" | "digest">) => void;
    readonly size: () => number;
}

export interface RemoteTargetsDependencies {
    readonly zone: ZoneName;
    readonly fetchZone: FetchZone;
    /** Probes a contact. Returns the sequence number of the expected reply, or undefined if no contact is known. */
    readonly probeZone: () => number | undefined;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: TargetDirectoryOptions;
    /** Called after each fetch. */
    readonly onFetched: (succeeded: boolean) => void;
    /** Called when a fetch was skipped. */
    readonly onSkipped: () => void;
}

const applyResponse = (requested: readonly RemoteService[], response: ZoneTargetsResponse): void => {
    requested.forEach((remoteService, index) => {
        const part = response.services[index];
        if (part?.kind === "Changed") {
            remoteService.digest = part.digest;
            remoteService.targets = part.targets;
        }
    });
};

/** Returns the zone digest of the response if the response covers every requested list, otherwise undefined. */
const selectZoneDigest = (requested: readonly RemoteService[], response: ZoneTargetsResponse): number | undefined =>
    response.services.length === requested.length ? response.zoneDigest : undefined;

/** Creates the targets of one remote zone. At most one fetch is in flight at a time. */
export const createRemoteTargets = (dependencies: RemoteTargetsDependencies): RemoteTargets => {
    const { zone, fetchZone, probeZone, clock, random, options, onFetched, onSkipped } = dependencies;
    const services = new Map<string, RemoteService>();
    let nextRefreshAt = clock.monotonic();
    let lastFetchAt = Number.NEGATIVE_INFINITY;
    let isFetching = false;
    /** Whether a fetch is required even if a contact confirms the digest, because the lists may be outdated. */
    let needsFetch = true;
    let lastFetch: FetchedDigest | undefined;
    let pendingProbe: DigestProbe | undefined;

    const getRandomPeriod = (): Milliseconds =>
        options.refreshPeriodMs * (MIN_PERIOD_FRACTION + (1 - MIN_PERIOD_FRACTION) * random());

    const requireFetch = (at: Milliseconds): void => {
        needsFetch = true;
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

    const applyFetch = (requested: readonly RemoteService[], response: ZoneTargetsResponse, at: Milliseconds): void => {
        applyResponse(requested, response);
        const digest = selectZoneDigest(requested, response);
        lastFetch = digest === undefined ? undefined : { digest, fetchedAt: at };
    };

    const fetch = async (requested: readonly RemoteService[], signal: AbortSignal): Promise<void> => {
        const request = {
            zone,
            services: requested.map(({ service, digest }) =>
                digest === undefined ? service : { ...service, knownDigest: digest }),
        };
        const startedAt = clock.monotonic();
        const timeLimit = startTimeLimit(clock, options.fetchTimeoutMs, signal);
        try {
            const response = await fetchZone(zone, request, timeLimit.signal)();
            if (either.isRight(response)) {
                applyFetch(requested, response.right, startedAt);
            }
            needsFetch ||= either.isLeft(response);
            onFetched(either.isRight(response));
        }
        catch {
            needsFetch = true;
            onFetched(false);
        }
        finally {
            timeLimit.cancel();
            isFetching = false;
        }
    };

    const startFetch = (now: Milliseconds, signal: AbortSignal): void => {
        nextRefreshAt = now + getRandomPeriod();
        pendingProbe = undefined;
        const requested = listServicesInUse(now);
        if (requested.length > 0) {
            isFetching = true;
            lastFetchAt = now;
            // The flag is cleared before the fetch starts. If it is set again while the fetch is in flight, another
            // fetch follows, because this one may not return the required data.
            needsFetch = false;
            void fetch(requested, signal);
        }
    };

    /** Probes a contact if its confirmation could replace a fetch. Returns whether a probe was sent. */
    const tryProbeContact = (now: Milliseconds): boolean => {
        const canProbe = !needsFetch && lastFetch !== undefined && now - lastFetch.fetchedAt < options.fullRefreshMs;
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

    const receiveDigest: RemoteTargets["receiveDigest"] = ({ sequence, digest }) => {
        if (lastFetch !== undefined && digest !== lastFetch.digest) {
            requireFetch(Math.max(clock.monotonic(), lastFetchAt + MIN_FETCH_INTERVAL_MS));
        }
        // Only the reply to the pending probe confirms the digest; the reply to an earlier probe may have been sent
        // before a change.
        else if (lastFetch !== undefined && sequence === pendingProbe?.sequence) {
            // The next probe is sent early enough for a fetch to replace it within the period if it receives no
            // response.
            nextRefreshAt = pendingProbe.sentAt + Math.max(0, getRandomPeriod() - options.confirmTimeoutMs);
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
        // The fetched digest covers only the lists of services in use. This service was idle and has not been included
        // in recent fetches.
        if (now - remoteService.usedAt > options.idleMs) {
            requireFetch(now);
        }
        remoteService.usedAt = now;
        return remoteService.targets;
    };

    return { targetsOf, poll, receiveDigest, size: () => services.size };
};
