/**
 * Lists the targets of a service. The targets of the local availability zone are taken from the membership; those of
 * remote zones are fetched on demand.
 */
import {
    formatServiceReference,
    type Clock,
    type Milliseconds,
    type ServiceReference,
    type ZoneName,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { Membership } from "./membershipTypes.js";
import type { TargetDirectoryOptions } from "./options.js";
import { createLocalTargets } from "./localTargets.js";
import { createRemoteTargets, type RemoteTargets } from "./remoteTargets.js";
import type { FetchZone, TargetDirectory, TargetMember } from "./targetDirectoryTypes.js";
import { createTargetLists } from "./targetLists.js";

/** Polling interval; the longest delay before a service that is used for the first time is fetched. */
const POLL_MS: Milliseconds = 100;

export interface TargetDirectoryDependencies {
    readonly membership: Pick<Membership, "members" | "self" | "probeZone" | "subscribeZoneDigests">;
    readonly fetchZone: FetchZone;
    /**
     * Returns the relevant zones of a service, for example those with a weight above 0. The local zone is relevant only
     * if it is included.
     */
    readonly zones: (service: ServiceReference) => readonly ZoneName[];
    readonly clock: Clock;
    readonly random: Random;
    readonly options: TargetDirectoryOptions;
}

/** Creates a target directory, which fetches nothing before `start` is called. */
export const createTargetDirectory = (dependencies: TargetDirectoryDependencies): TargetDirectory => {
    const { membership, fetchZone, zones, clock, random, options } = dependencies;
    const localZone = membership.self().zone;
    const localTargets = createLocalTargets(membership);
    const remoteZones = new Map<ZoneName, RemoteTargets>();
    let fetches = 0;
    let failedFetches = 0;
    let skippedFetches = 0;
    const joinedLists = createTargetLists();

    const getOrCreateZone = (zone: ZoneName): RemoteTargets => {
        const existing = remoteZones.get(zone);
        if (existing !== undefined) {
            return existing;
        }
        const onFetched = (succeeded: boolean): void => {
            fetches += 1;
            failedFetches += succeeded ? 0 : 1;
        };
        const onSkipped = (): void => {
            skippedFetches += 1;
        };
        const probeZone = (): number | undefined => membership.probeZone(zone);
        const created = createRemoteTargets({
            zone, fetchZone, probeZone, clock, random, options, onFetched, onSkipped,
        });
        remoteZones.set(zone, created);
        return created;
    };

    const targetsOf = (
        service: ServiceReference,
        requestedZones: readonly ZoneName[] = zones(service),
    ): readonly TargetMember[] => {
        const key = formatServiceReference(service);
        const local = requestedZones.includes(localZone) ? [localTargets.targetsOf(service)] : [];
        const remote = requestedZones
            .filter((zone) => zone !== localZone)
            .map((zone) => getOrCreateZone(zone).targetsOf(service, key));
        return joinedLists.join(key, [...local, ...remote]);
    };

    // The subscription is never ended, because there is exactly one directory per membership.
    membership.subscribeZoneDigests((digest) => {
        remoteZones.get(digest.zone)?.receiveDigest(digest);
    });

    const start = (signal: AbortSignal): void => {
        let cancel = (): void => undefined;
        const poll = (): void => {
            if (signal.aborted) {
                return;
            }
            remoteZones.forEach((remote) => {
                remote.poll(signal);
            });
            cancel = clock.after(POLL_MS, poll);
        };
        signal.addEventListener("abort", () => {
            cancel();
        }, { once: true });
        if (!signal.aborted) {
            cancel = clock.after(POLL_MS, poll);
        }
    };

    return {
        start,
        targetsOf,
        answerZoneTargets: localTargets.answer,
        zoneDigest: localTargets.zoneDigest,
        stats: () => ({
            fetches,
            failedFetches,
            skippedFetches,
            servicesHeld: [...remoteZones.values()].reduce((sum, remote) => sum + remote.size(), 0),
        }),
    };
};
