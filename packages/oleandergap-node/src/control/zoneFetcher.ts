/** Fetches the targets of another zone from one of that zone's nodes, with hedged requests. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PeerDirectoryPort, PeerError } from "oleandergap-distribution";
import type {
    Contact,
    FetchZone,
    FetchZoneError,
    ZoneTargetsResponse,
    ZoneTargetsRequest,
} from "oleandergap-membership";
import type { Clock, Milliseconds, ZoneName } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";

export interface ZoneFetcherDependencies {
    readonly clock: Clock;
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    readonly peers: Pick<PeerDirectoryPort, "zoneTargets">;
}

/** Maximum number of nodes that are queried in one round. */
const MAX_CONTACTS_QUERIED = 3;
/** Delay without a response after which another contact is queried as well: several times a usual response time. */
const HEDGE_DELAY_MS: Milliseconds = 300;
/** Pause between rounds. After a start, the first contacts become known within a few of these pauses. */
const ROUND_PAUSE_MS: Milliseconds = 100;

type FetchResult = Either<FetchZoneError, ZoneTargetsResponse>;

/** Resolves with the first successful result, or with the last failure if all fetches have failed. */
const awaitFirstSuccess = (fetches: readonly Promise<FetchResult>[]): Promise<FetchResult> => new Promise((resolve) => {
    let failed = 0;
    for (const fetch of fetches) {
        void fetch.then((result) => {
            failed += either.isLeft(result) ? 1 : 0;
            if (either.isRight(result) || failed === fetches.length) {
                resolve(result);
            }
        });
    }
});

/**
 * Creates a fetcher that queries contacts in rounds until one responds or the signal aborts. An unresponsive contact
 * does not delay the query of the next one.
 */
export const createZoneFetcher = ({ clock, contactsOf, peers }: ZoneFetcherDependencies): FetchZone => {
    const fetchFromContact = async (
        contact: Contact,
        request: ZoneTargetsRequest,
        signal: AbortSignal,
    ): Promise<FetchResult> => {
        const response = await peers.zoneTargets(contact, request, signal)();
        return either.mapLeft(
            ({ kind }: PeerError): FetchZoneError => ({ kind: "ZoneUnreachable", detail: kind }),
        )(response);
    };

    const runRound = async (zone: ZoneName, request: ZoneTargetsRequest, signal: AbortSignal): Promise<FetchResult> => {
        const fetches: Promise<FetchResult>[] = [];
        for (const contact of contactsOf(zone).slice(0, MAX_CONTACTS_QUERIED)) {
            fetches.push(fetchFromContact(contact, request, signal));
            const hedgeDelay = clock.sleep(HEDGE_DELAY_MS, signal).then(() => undefined);
            const result = await Promise.race([awaitFirstSuccess(fetches), hedgeDelay]);
            if (result !== undefined && either.isRight(result)) {
                return result;
            }
        }
        return fetches.length === 0 ?
            either.left({ kind: "ZoneUnreachable", detail: "no node of the zone is known" }) :
            awaitFirstSuccess(fetches);
    };

    return (zone, request, signal) => async () => {
        // Aborts the queries that are still in flight after the first response.
        const link = linkSignal(signal);
        let result = await runRound(zone, request, link.signal);
        while (either.isLeft(result) && !signal.aborted) {
            await clock.sleep(ROUND_PAUSE_MS, signal);
            result = await runRound(zone, request, link.signal);
        }
        link.abort();
        link.release();
        return result;
    };
};
