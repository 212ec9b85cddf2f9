/** Gets a newer version of one partner from one source and offers it to the store, which checks it. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PartnerDocument, PartnerName } from "oleandergap-types";
import type { ArrivalOrigin, Arrivals } from "./arrivals.js";
import { callWithin, type CallBound } from "./boundedCall.js";
import type { ClaimSource } from "./claimBook.js";
import type { PeerHeads } from "./peerHeads.js";
import type {
    ConfigurationSourcePort,
    ConfigurationStorePort,
    NoteProgress,
    PeerAddress,
    PeerPort,
} from "./ports.js";
import type { SpreadCounters } from "./statistics.js";
import { READS_PER_DOCUMENT, type ReadBudget } from "./readBudget.js";

/** Why a source did not bring the store forward; nothing was applied. */
export type FetchFailure =
    | { readonly kind: "NothingNewer" }
    | { readonly kind: "Refused"; readonly detail: string }
    | { readonly kind: "NoAnswer"; readonly detail: string }
    | { readonly kind: "OverBudget" };

/** What a version fetcher works with. */
export interface VersionFetcherDependencies {
    readonly store: ConfigurationStorePort;
    readonly peers: Pick<PeerPort, "deltasSince" | "document">;
    readonly source: Pick<ConfigurationSourcePort, "readDeltas" | "readDocument" | "holdsDocuments">;
    readonly budget: ReadBudget;
    readonly arrivals: Pick<Arrivals, "offerFrom">;
    /** Learns that a peer holds what it has just delivered. */
    readonly peerHeads: Pick<PeerHeads, "note">;
    readonly counters: SpreadCounters;
}

/** How long a fetch may take, and who is told while its answer arrives. */
export interface FetchBound extends CallBound {
    readonly onProgress?: NoteProgress;
}

/** Fetches from one source; a right result means that a newer version came into force. */
export type FetchVersion = (
    partner: PartnerName,
    from: ClaimSource,
    bound: FetchBound,
) => Promise<Either<FetchFailure, void>>;

type FetchResult = Either<FetchFailure, void>;

const noAnswer = (failure: { readonly kind: string }): FetchResult =>
    either.left({ kind: "NoAnswer", detail: failure.kind });

const refused = (refusal: { readonly kind: string }): FetchResult =>
    either.left({ kind: "Refused", detail: refusal.kind });

/** Creates the function that fetches; it never rejects. */
export const createVersionFetcher = (
    { store, peers, source, budget, arrivals, peerHeads, counters }: VersionFetcherDependencies,
): FetchVersion => {
    const sequenceOf = (partner: PartnerName): number => store.document(partner).sequence;

    const offer = (
        partner: PartnerName,
        origin: ArrivalOrigin,
        apply: () => Either<{ readonly kind: string }, unknown>,
    ): FetchResult => {
        const before = sequenceOf(partner);
        const outcome = arrivals.offerFrom(origin, apply);
        if (either.isLeft(outcome)) {
            return refused(outcome.left);
        }
        return sequenceOf(partner) > before ? either.right(undefined) : either.left({ kind: "NothingNewer" });
    };

    const offerPeerDocument = (peer: PeerAddress, document: PartnerDocument): FetchResult => {
        counters.documentPulls += 1;
        peerHeads.note(peer.id, document);
        return offer(document.partner, { way: "document", peer: peer.id }, () => store.offerDocument(document));
    };

    const fetchPeerDocument = async (
        partner: PartnerName,
        peer: PeerAddress,
        bound: FetchBound,
    ): Promise<FetchResult> => {
        const { onProgress } = bound;
        const answer = await callWithin((signal) => peers.document(peer, { partner }, signal, onProgress), bound);
        return either.isLeft(answer) ? noAnswer(answer.left) : offerPeerDocument(peer, answer.right);
    };

    const fetchFromPeer = async (partner: PartnerName, peer: PeerAddress, bound: FetchBound): Promise<FetchResult> => {
        const query = { partner, sequence: sequenceOf(partner) };
        const { onProgress } = bound;
        const answer = await callWithin((signal) => peers.deltasSince(peer, query, signal, onProgress), bound);
        if (either.isLeft(answer)) {
            return noAnswer(answer.left);
        }
        const version = answer.right;
        if (version.kind === "Document") {
            return offerPeerDocument(peer, version.document);
        }
        if (version.deltas.length === 0) {
            return either.left({ kind: "NothingNewer" });
        }
        version.deltas.slice(-1).forEach((last) => peerHeads.note(peer.id, last));
        const outcome = offer(partner, { way: "steps", peer: peer.id }, () =>
            store.offerDeltas(partner, version.deltas));
        const mayFit = either.isRight(outcome) || outcome.left.kind !== "Refused";
        return mayFit ? outcome : fetchPeerDocument(partner, peer, bound);
    };

    const takeReads = (reads: number): boolean => {
        const isTaken = budget.tryTake(reads);
        counters.platformReads += isTaken ? reads : 0;
        counters.readsPutOff += isTaken ? 0 : 1;
        return isTaken;
    };

    const fetchPlatformDocument = async (partner: PartnerName, bound: CallBound): Promise<FetchResult> => {
        // Charged for reads that are not made, a node would run out of budget in a quick run of changes, and one would
        // see it stay at an old version until the run is over.
        if (source.holdsDocuments !== true && !takeReads(READS_PER_DOCUMENT)) {
            return either.left({ kind: "OverBudget" });
        }
        counters.documentPulls += 1;
        const answer = await callWithin((signal) => source.readDocument(partner, signal), bound);
        return either.isLeft(answer) ?
            noAnswer(answer.left) :
            offer(partner, { way: "platform" }, () => store.offerDocument(answer.right));
    };

    const fetchFromPlatform = async (partner: PartnerName, bound: CallBound): Promise<FetchResult> => {
        if (sequenceOf(partner) === 0 || source.holdsDocuments === true) {
            return fetchPlatformDocument(partner, bound);
        }
        if (!takeReads(1)) {
            return either.left({ kind: "OverBudget" });
        }
        const after = sequenceOf(partner);
        const answer = await callWithin((signal) => source.readDeltas(partner, after, signal), bound);
        if (either.isLeft(answer)) {
            return noAnswer(answer.left);
        }
        const outcome = answer.right.length === 0 ?
            either.left<FetchFailure, void>({ kind: "Refused", detail: "no deltas" }) :
            offer(partner, { way: "platform" }, () => store.offerDeltas(partner, answer.right));
        const mayFit = either.isRight(outcome) || outcome.left.kind !== "Refused";
        return mayFit ? outcome : fetchPlatformDocument(partner, bound);
    };

    return (partner, from, bound) =>
        from.kind === "Peer" ?
            fetchFromPeer(partner, from.peer, bound) :
            fetchFromPlatform(partner, bound);
};
