/**
 * The versions in force at a node. A new version is built and checked off to the side and then put in force by swapping
 * one reference, so that a request sees all of a version or none of it, and never a lower one than before.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type {
    Delta,
    Head,
    PartnerDocument,
    PartnerName,
    PartnerTable,
    Sequence,
    TableView,
} from "oleandergap-types";
import { createEmptyDocument, getDocumentHead } from "../version/document.js";
import { formatVersionError, type VersionError } from "../version/versionError.js";
import { createPartnerStore, type OfferOutcome, type PartnerStore } from "./partnerStore.js";
import { createRefusals } from "./refusals.js";

/** What a store starts with; every partner is at the empty document. */
export interface ConfigurationStoreOptions {
    readonly partners: readonly PartnerName[];
    readonly logger: Logger;
    /** Deltas kept for each partner, for peers that are behind. */
    readonly deltaHistory: number;
}

/** Is told the head of each version that came into force. */
export type HeadListener = (head: Head) => void;

/** Versions are offered in any order and from anywhere; only better ones come into force. */
export interface ConfigurationStore {
    /** The tables in force. The result never changes; a request keeps the one that it started on. */
    readonly view: () => TableView;
    readonly heads: () => readonly Head[];
    /** The version in force; the empty document for a partner that is not in the settings. */
    readonly document: (partner: PartnerName) => PartnerDocument;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionError, OfferOutcome>;
    /** In any order, with repeats; what follows on the version in force is applied. */
    readonly offerDeltas: (partner: PartnerName, deltas: readonly Delta[]) => Either<VersionError, OfferOutcome>;
    /** Deltas that lead from `sequence` to the version in force; undefined when the history is too short. */
    readonly deltasSince: (partner: PartnerName, sequence: Sequence) => readonly Delta[] | undefined;
    /** The step that led to version `sequence`; undefined when it is not held. */
    readonly deltaTo: (partner: PartnerName, sequence: Sequence) => Delta | undefined;
    /** Whether fetching `head` makes sense: it is above the version in force and not known to be invalid. */
    readonly isWanted: (head: Head) => boolean;
    /** Versions that were refused lately, for operators. */
    readonly refusals: () => readonly VersionError[];
    /** Calls `listener` after each swap; the result ends that. */
    readonly subscribe: (listener: HeadListener) => () => void;
}

/** Creates the store of one node; all of it is in memory. */
export const createConfigurationStore = ({
    partners,
    logger,
    deltaHistory,
}: ConfigurationStoreOptions): ConfigurationStore => {
    const refusals = createRefusals();
    const listeners = new Set<HeadListener>();
    const { isInvalid } = refusals;
    const stores = new Map<PartnerName, PartnerStore>(
        partners.map((partner) => [partner, createPartnerStore({ partner, deltaHistory, isInvalid })]),
    );
    const toEntry = (store: PartnerStore): [PartnerName, PartnerTable] => [store.document().partner, store.table()];
    let view: TableView = new Map([...stores.values()].map(toEntry));

    const notify = (head: Head): void => {
        for (const listener of listeners) {
            try {
                listener(head);
            }
            catch (error) {
                logger.error("A listener for new versions failed", { detail: String(error) });
            }
        }
    };

    const report = (error: VersionError): void => {
        if (refusals.record(error)) {
            logger.warn(`Refused ${formatVersionError(error)}`);
        }
    };

    const offer = (
        partner: PartnerName,
        run: (store: PartnerStore) => Either<VersionError, OfferOutcome>,
    ): Either<VersionError, OfferOutcome> => {
        const store = stores.get(partner);
        const result: Either<VersionError, OfferOutcome> = store === undefined ?
            either.left({ kind: "UnknownPartner", partner }) :
            run(store);
        if (either.isLeft(result)) {
            report(result.left);
            return result;
        }
        if (store !== undefined && result.right.kind === "Applied") {
            result.right.refused.forEach(report);
            view = new Map([...stores.values()].map(toEntry));
            logger.info("Applied a version", { partner, sequence: result.right.head.sequence });
            notify(result.right.head);
        }
        return result;
    };

    return {
        view: () => view,
        heads: () => [...stores.values()].map((store) => getDocumentHead(store.document())),
        document: (partner) => stores.get(partner)?.document() ?? createEmptyDocument(partner),
        offerDocument: (document) => offer(document.partner, (store) => store.offerDocument(document)),
        offerDeltas: (partner, deltas) => offer(partner, (store) => store.offerDeltas(deltas)),
        deltasSince: (partner, sequence) => stores.get(partner)?.deltasSince(sequence),
        deltaTo: (partner, sequence) => stores.get(partner)?.deltaTo(sequence),
        isWanted: (head) => {
            const held = stores.get(head.partner)?.document();
            return held !== undefined && head.sequence > held.sequence && !isInvalid(head);
        },
        refusals: refusals.list,
        subscribe: (listener) => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
