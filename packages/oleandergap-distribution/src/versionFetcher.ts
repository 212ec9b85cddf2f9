/** Fetches a newer version of one partner from one source and offers it to the store, which validates it. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PartnerDocument, PartnerName } from "oleandergap-types";
import type { ArrivalOrigin, ArrivalLog } from "./arrivalLog.js";
import { callWithTimeout, type CallLimits } from "./callWithTimeout.js";
import type { ClaimSource } from "./claimRegistry.js";
import type { PeerHeads } from "./peerHeads.js";
import type {
    ConfigurationSourcePort,
    ConfigurationStorePort,
    ProgressListener,
    PeerAddress,
    PeerPort,
} from "./ports.js";
import type { SpreadCounters } from "./statistics.js";
import { READS_PER_DOCUMENT, type ReadBudget } from "./readBudget.js";

/** Reason why a fetch did not bring a newer version into force. Nothing was applied. */
export type FetchFailure =
    | { readonly kind: "NothingNewer" }
    | { readonly kind: "Refused"; readonly detail: string }
    | { readonly kind: "NoAnswer"; readonly detail: string }
    | { readonly kind: "OverBudget" };

/** Dependencies of a version fetcher. */
export interface VersionFetcherDependencies {
    readonly store: ConfigurationStorePort;
    readonly peers: Pick<PeerPort, "deltasSince" | "document">;
    readonly source: Pick<ConfigurationSourcePort, "readDeltas" | "readDocument" | "holdsDocuments">;
    readonly budget: ReadBudget;
    readonly arrivalLog: Pick<ArrivalLog, "offerFrom">;
    /** Records that a peer holds the version that it has just delivered. */
    readonly peerHeads: Pick<PeerHeads, "record">;
    readonly counters: SpreadCounters;
}

/** Timeout of a fetch, and the listener for the progress of its response. */
export interface FetchLimits extends CallLimits {
    readonly onProgress?: ProgressListener;
}

/** Fetches a version from one source. A right result means that a newer version came into force. */
export type FetchVersion = (
    partner: PartnerName,
    from: ClaimSource,
    limits: FetchLimits,
) => Promise<Either<FetchFailure, void>>;

type FetchResult = Either<FetchFailure, void>;

const createNoAnswerResult = (failure: { readonly kind: string }): FetchResult =>
    either.left({ kind: "NoAnswer", detail: failure.kind });

const createRefusedResult = (refusal: { readonly kind: string }): FetchResult =>
    either.left({ kind: "Refused", detail: refusal.kind });

/** Creates the function that fetches versions. The function never rejects. */
export const createVersionFetcher = (
    { store, peers, source, budget, arrivalLog, peerHeads, counters }: VersionFetcherDependencies,
): FetchVersion => {
    const getSequence = (partner: PartnerName): number => store.document(partner).sequence;

    const offer = (
        partner: PartnerName,
        origin: ArrivalOrigin,
        apply: () => Either<{ readonly kind: string }, unknown>,
    ): FetchResult => {
        const before = getSequence(partner);
        const outcome = arrivalLog.offerFrom(origin, apply);
        if (either.isLeft(outcome)) {
            return createRefusedResult(outcome.left);
        }
        return getSequence(partner) > before ? either.right(undefined) : either.left({ kind: "NothingNewer" });
    };

    const offerPeerDocument = (peer: PeerAddress, document: PartnerDocument): FetchResult => {
        counters.documentPulls += 1;
        peerHeads.record(peer.id, document);
        return offer(document.partner, { way: "document", peer: peer.id }, () => store.offerDocument(document));
    };

    const fetchPeerDocument = async (
        partner: PartnerName,
        peer: PeerAddress,
        limits: FetchLimits,
    ): Promise<FetchResult> => {
        const { onProgress } = limits;
        const response = await callWithTimeout(
            (signal) => peers.document(peer, { partner }, signal, onProgress),
            limits,
        );
        return either.isLeft(response) ? createNoAnswerResult(response.left) : offerPeerDocument(peer, response.right);
    };

    const fetchFromPeer = async (
        partner: PartnerName,
        peer: PeerAddress,
        limits: FetchLimits,
    ): Promise<FetchResult> => {
        const query = { partner, sequence: getSequence(partner) };
        const { onProgress } = limits;
        const response = await callWithTimeout((signal) => peers.deltasSince(peer, query, signal, onProgress), limits);
        if (either.isLeft(response)) {
            return createNoAnswerResult(response.left);
        }
        const version = response.right;
        if (version.kind === "Document") {
            return offerPeerDocument(peer, version.document);
        }
        if (version.deltas.length === 0) {
            return either.left({ kind: "NothingNewer" });
        }
        version.deltas.slice(-1).forEach((last) => peerHeads.record(peer.id, last));
        const outcome = offer(partner, { way: "steps", peer: peer.id }, () =>
            store.offerDeltas(partner, version.deltas));
        const isConclusive = either.isRight(outcome) || outcome.left.kind !== "Refused";
        return isConclusive ? outcome : fetchPeerDocument(partner, peer, limits);
    };

    const tryTakeReads = (reads: number): boolean => {
        const areTaken = budget.tryTake(reads);
        counters.platformReads += areTaken ? reads : 0;
        counters.readsPutOff += areTaken ? 0 : 1;
        return areTaken;
    };

    const fetchPlatformDocument = async (partner: PartnerName, limits: CallLimits): Promise<FetchResult> => {
        // No read is charged if the source already holds the documents. Otherwise a quick series of changes would
        // exhaust the budget, and the node would stay at an old version until the end of the series.
        if (source.holdsDocuments !== true && !tryTakeReads(READS_PER_DOCUMENT)) {
            return either.left({ kind: "OverBudget" });
        }
        counters.documentPulls += 1;
        const response = await callWithTimeout((signal) => source.readDocument(partner, signal), limits);
        return either.isLeft(response) ?
            createNoAnswerResult(response.left) :
            offer(partner, { way: "platform" }, () => store.offerDocument(response.right));
    };

    const fetchFromPlatform = async (partner: PartnerName, limits: CallLimits): Promise<FetchResult> => {
        if (getSequence(partner) === 0 || source.holdsDocuments === true) {
            return fetchPlatformDocument(partner, limits);
        }
        if (!tryTakeReads(1)) {
            return either.left({ kind: "OverBudget" });
        }
        const after = getSequence(partner);
        const response = await callWithTimeout((signal) => source.readDeltas(partner, after, signal), limits);
        if (either.isLeft(response)) {
            return createNoAnswerResult(response.left);
        }
        const outcome = response.right.length === 0 ?
            either.left<FetchFailure, void>({ kind: "Refused", detail: "no deltas" }) :
            offer(partner, { way: "platform" }, () => store.offerDeltas(partner, response.right));
        const isConclusive = either.isRight(outcome) || outcome.left.kind !== "Refused";
        return isConclusive ? outcome : fetchPlatformDocument(partner, limits);
    };

    return (partner, from, limits) =>
        from.kind === "Peer" ?
            fetchFromPeer(partner, from.peer, limits) :
            fetchFromPlatform(partner, limits);
};
