/**
 * Exchanges digests of all targets of an availability zone in the replies to contact probes. A node that holds the
 * targets of a remote zone detects changes at the cost of a few bytes.
 */
import type { ZoneName } from "oleandergap-types";
import type { Unsubscribe } from "./membershipTypes.js";

/** Target digest of a remote availability zone, as sent by one of its nodes. */
export interface ZoneDigest {
    readonly zone: ZoneName;
    /** Sequence number of the probe that the digest responds to, as returned by `probeZone`. */
    readonly sequence: number;
    readonly digest: number;
}

export type ReceiveZoneDigest = (digest: ZoneDigest) => void;

export interface ZoneDigests {
    /**
     * Returns the digest of the targets of the local availability zone, or undefined while the member list of this node
     * is not yet complete enough.
     */
    readonly getLocal: () => number | undefined;
    readonly receive: ReceiveZoneDigest;
    readonly subscribe: (listener: ReceiveZoneDigest) => Unsubscribe;
}

export const createZoneDigests = (getLocal: () => number | undefined): ZoneDigests => {
    const listeners = new Set<ReceiveZoneDigest>();
    return {
        getLocal,
        receive: (digest) => {
            for (const listener of listeners) {
                listener(digest);
            }
        },
        subscribe: (listener) => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
