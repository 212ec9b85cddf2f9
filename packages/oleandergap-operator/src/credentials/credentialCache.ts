/** Cache of confirmed credentials by hash. The credentials themselves are not stored. */
import type { Milliseconds } from "oleandergap-types";
import type { OperatorIdentity } from "./identity.js";

/** Identity of a credential that the platform has confirmed. */
export interface ConfirmedCredential {
    readonly identity: OperatorIdentity;
    /** Monotonic time in milliseconds at which the read that confirmed the credential was sent. */
    readonly confirmedAt: Milliseconds;
}

/** The most recently confirmed credentials by hash. */
export interface CredentialCache {
    readonly get: (hash: string) => ConfirmedCredential | undefined;
    /** Stores a confirmation unless the cache already has a later one. */
    readonly confirm: (hash: string, confirmed: ConfirmedCredential) => void;
    readonly remove: (hash: string) => void;
}

/** Creates a cache of the `capacity` most recently confirmed credentials. */
export const createCredentialCache = (capacity: number): CredentialCache => {
    const entries = new Map<string, ConfirmedCredential>();

    const evictOldest = (): void => {
        const oldest = entries.keys().next();
        if (entries.size > capacity && oldest.done !== true) {
            entries.delete(oldest.value);
        }
    };

    return {
        get: (hash) => entries.get(hash),
        confirm: (hash, confirmed) => {
            const cached = entries.get(hash);
            if (cached !== undefined && cached.confirmedAt > confirmed.confirmedAt) {
                return;
            }
            entries.delete(hash);
            entries.set(hash, confirmed);
            evictOldest();
        },
        remove: (hash) => {
            entries.delete(hash);
        },
    };
};
