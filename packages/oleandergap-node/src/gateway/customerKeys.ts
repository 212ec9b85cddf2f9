/** Finds the customer to which a caller's key belongs. */
import type { Customer, CustomerDirectory, KeyDigest } from "oleandergap-types";
import { digestCustomerKey, isCustomerKey } from "oleandergap-utils";

/** Maximum number of cached digests: some keys for each of a thousand customers, in less than 1 MB. */
const MAX_CACHED_DIGESTS = 4096;

/** Returns the customer that holds a key; undefined if no customer does. */
export type FindKeyHolder = (customers: CustomerDirectory, key: string) => Customer | undefined;

/**
 * Creates the lookup. The digests of keys that some customer holds are cached; others are not, so that callers with
 * invented keys displace nothing. A cached digest is looked up in the version of each request, so that a key that was
 * taken away is not found.
 */
export const createKeyHolderLookup = (): FindKeyHolder => {
    const digests = new Map<string, KeyDigest>();

    const cacheDigest = (key: string, digest: KeyDigest): void => {
        const [oldestKey] = digests.keys();
        if (digests.size >= MAX_CACHED_DIGESTS && oldestKey !== undefined) {
            digests.delete(oldestKey);
        }
        digests.set(key, digest);
    };

    return ({ byKeyDigest }, key) => {
        const cachedDigest = digests.get(key);
        const digest = cachedDigest ?? (isCustomerKey(key) ? digestCustomerKey(key) : undefined);
        const customer = digest === undefined ? undefined : byKeyDigest.get(digest);
        if (cachedDigest === undefined && digest !== undefined && customer !== undefined) {
            cacheDigest(key, digest);
        }
        return customer;
    };
};
