/** Interface of the target directory, and the messages with which zones exchange their targets. */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import {
    addressSchema,
    nodeIdSchema,
    portSchema,
    serviceReferenceSchema,
    zoneNameSchema,
    type ServiceReference,
    type ZoneName,
} from "oleandergap-types";
import { z } from "zod";
import { MAX_TARGETS_DIGEST } from "./targetsDigest.js";

/** Largest number of services in one request to a remote availability zone. */
export const MAX_SERVICES_PER_REQUEST = 200;
/** Largest number of targets of one service in a response. */
export const MAX_TARGETS_PER_SERVICE = 2000;

/** Target and the node whose gate forwards requests to it. */
export const targetMemberSchema = z.strictObject({
    nodeId: nodeIdSchema,
    zone: zoneNameSchema,
    address: addressSchema,
    gatePort: portSchema,
    slots: z.number().int().min(1),
    /** Whether the target is leaving. No new requests may be sent to it. */
    leaving: z.boolean(),
    /** Wall-clock time of the first announcement of the target. */
    since: z.number(),
});
export type TargetMember = z.infer<typeof targetMemberSchema>;

/** Digest of the targets of a service in one zone. Equal digests indicate equal lists. */
const targetsDigestSchema = z.string().max(64);

/** Requests the targets of an availability zone from a node of that zone. */
export const zoneTargetsRequestSchema = z.strictObject({
    zone: zoneNameSchema,
    services: z.array(serviceReferenceSchema.extend({
        /** Digest of the list that the requesting node already holds. */
        knownDigest: targetsDigestSchema.optional(),
    })).max(MAX_SERVICES_PER_REQUEST),
});
export type ZoneTargetsRequest = z.infer<typeof zoneTargetsRequestSchema>;

/** Contains one response per requested service, in the same order. */
export const zoneTargetsResponseSchema = z.strictObject({
    services: z.array(z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("Unchanged") }),
        z.strictObject({
            kind: z.literal("Changed"),
            digest: targetsDigestSchema,
            targets: z.array(targetMemberSchema).max(MAX_TARGETS_PER_SERVICE),
        }),
    ])).max(MAX_SERVICES_PER_REQUEST),
    /**
     * Digest of all targets of the zone that the responding node holds. It can be compared with the digests sent by
     * contacts of that zone.
     */
    zoneDigest: z.number().int().min(0).max(MAX_TARGETS_DIGEST).optional(),
});
export type ZoneTargetsResponse = z.infer<typeof zoneTargetsResponseSchema>;

/** Reason why a remote availability zone did not respond. */
export interface FetchZoneError {
    readonly kind: "ZoneUnreachable";
    readonly detail: string;
}

/** Port that sends a request to any node of `zone`. The request is aborted when `signal` aborts. */
export type FetchZone = (
    zone: ZoneName,
    request: ZoneTargetsRequest,
    signal: AbortSignal,
) => TaskEither<FetchZoneError, ZoneTargetsResponse>;

/** Lists the targets of services, those of remote zones as stored on this node. */
export interface TargetDirectory {
    /** Refreshes the targets of remote zones until `signal` aborts. */
    readonly start: (signal: AbortSignal) => void;
    /**
     * Returns the targets of a service: those of the local zone immediately, those of remote zones as last fetched. The
     * call marks the service as in use, so that it is fetched and refreshed. `zones` restricts the zones, including the
     * local one. The same array is returned while nothing has changed and the same zones are requested.
     */
    readonly targetsOf: (service: ServiceReference, zones?: readonly ZoneName[]) => readonly TargetMember[];
    /** Responds to the request of a remote zone from the members of the local zone. */
    readonly answerZoneTargets: (request: ZoneTargetsRequest) => ZoneTargetsResponse;
    /** Returns the digest of the targets of the local zone, for `MembershipDependencies.targetsDigest`. */
    readonly zoneDigest: () => number;
    readonly stats: () => TargetDirectoryStats;
}

/** Counters since the start. */
export interface TargetDirectoryStats {
    readonly fetches: number;
    readonly failedFetches: number;
    /** Number of refreshes that needed no fetch because a contact confirmed the digest. */
    readonly skippedFetches: number;
    readonly servicesHeld: number;
}
