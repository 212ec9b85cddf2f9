/** Asks some node of another zone for that zone's targets. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PeerDirectoryPort, PeerError } from "oleandergap-distribution";
import type {
    Contact,
    FetchZone,
    FetchZoneError,
    ZoneTargetsAnswer,
    ZoneTargetsRequest,
} from "oleandergap-membership";
import type { Clock, Milliseconds, ZoneName } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";

export interface ZoneFetcherDependencies {
    readonly clock: Clock;
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    readonly peers: Pick<PeerDirectoryPort, "zoneTargets">;
}

/** Nodes that are tried in one round. */
const CONTACTS_TRIED = 3;
/** Another contact is asked when none has answered for this time, several times what an answer takes. */
const ANSWER_PATIENCE_MS: Milliseconds = 300;
/** Pause before the next round; right after a start, the first contacts become known within a few of these. */
const ROUND_PAUSE_MS: Milliseconds = 100;

type Answer = Either<FetchZoneError, ZoneTargetsAnswer>;

/** The first answer; the last failure when all have failed. */
const takeFirst = (asked: readonly Promise<Answer>[]): Promise<Answer> => new Promise((resolve) => {
    let failed = 0;
    for (const question of asked) {
        void question.then((answer) => {
            failed += either.isLeft(answer) ? 1 : 0;
            if (either.isRight(answer) || failed === asked.length) {
                resolve(answer);
            }
        });
    }
});

/** Asks round by round until a contact answers or the signal aborts. A silent contact does not hold the others up. */
export const createZoneFetcher = ({ clock, contactsOf, peers }: ZoneFetcherDependencies): FetchZone => {
    const ask = async (contact: Contact, request: ZoneTargetsRequest, signal: AbortSignal): Promise<Answer> => {
        const answer = await peers.zoneTargets(contact, request, signal)();
        return either.mapLeft(({ kind }: PeerError): FetchZoneError => ({ kind: "ZoneUnreachable", detail: kind }))(answer);
    };

    const askRound = async (zone: ZoneName, request: ZoneTargetsRequest, signal: AbortSignal): Promise<Answer> => {
        const asked: Promise<Answer>[] = [];
        for (const contact of contactsOf(zone).slice(0, CONTACTS_TRIED)) {
            asked.push(ask(contact, request, signal));
            const waited = clock.sleep(ANSWER_PATIENCE_MS, signal).then(() => undefined);
            const answer = await Promise.race([takeFirst(asked), waited]);
            if (answer !== undefined && either.isRight(answer)) {
                return answer;
            }
        }
        return asked.length === 0 ?
            either.left({ kind: "ZoneUnreachable", detail: "no node of the zone is known" }) :
            takeFirst(asked);
    };

    return (zone, request, signal) => async () => {
        // Ends the questions that are still open once one is answered.
        const link = linkSignal(signal);
        let answer = await askRound(zone, request, link.signal);
        while (either.isLeft(answer) && !signal.aborted) {
            await clock.sleep(ROUND_PAUSE_MS, signal);
            answer = await askRound(zone, request, link.signal);
        }
        link.abort();
        link.release();
        return answer;
    };
};
