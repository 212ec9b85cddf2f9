/**
 * Carries one digest over all targets of an availability zone to the nodes of the others, in the answers to contact
 * probes. A node that holds a zone's targets thereby learns for a few bytes whether they changed.
 */
import type { ZoneName } from "oleandergap-types";
import type { Unsubscribe } from "./membershipTypes.js";

/** What a node of another availability zone said of its zone's targets. */
export interface ZoneDigest {
    readonly zone: ZoneName;
    /** The probe that it answers, as returned by `probeZone`. */
    readonly sequence: number;
    readonly digest: number;
}

export type ReceiveZoneDigest = (digest: ZoneDigest) => void;

export interface ZoneDigests {
    /** Digest of the own availability zone's targets; undefined while this node cannot vouch for it. */
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
