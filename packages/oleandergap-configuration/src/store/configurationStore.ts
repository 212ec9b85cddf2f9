/**
 * Stores the active versions of a node. A new version is built and validated separately and then activated by replacing
 * one reference. A request therefore sees a version completely or not at all, and never an older version than an
 * earlier request.
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

/** Options of a store. Every partner starts with the empty document. */
export interface ConfigurationStoreOptions {
    readonly partners: readonly PartnerName[];
    readonly logger: Logger;
    /** Maximum number of deltas that are retained for each partner, for peers with an older version. */
    readonly deltaHistory: number;
}

/** Receives the head of each activated version. */
export type HeadListener = (head: Head) => void;

/**
 * Store of the active versions. Versions may be offered in any order and from any source; only valid versions with a
 * higher sequence are activated.
 */
export interface ConfigurationStore {
    /** Returns the active tables. The returned map is never modified; a request uses the same map until its end. */
    readonly getTables: () => TableView;
    readonly heads: () => readonly Head[];
    /** Returns the active version, or the empty document if the settings do not contain the partner. */
    readonly document: (partner: PartnerName) => PartnerDocument;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionError, OfferOutcome>;
    /** Accepts deltas in any order and with duplicates. Applies the deltas that extend the active version. */
    readonly offerDeltas: (partner: PartnerName, deltas: readonly Delta[]) => Either<VersionError, OfferOutcome>;
    /**
     * Returns the deltas from `sequence` to the active version; undefined if the history does not contain all of them.
     */
    readonly deltasSince: (partner: PartnerName, sequence: Sequence) => readonly Delta[] | undefined;
    /** Returns the delta that created version `sequence`; undefined if it is not in the history. */
    readonly deltaTo: (partner: PartnerName, sequence: Sequence) => Delta | undefined;
    /** Whether `head` should be fetched: it is newer than the active version and not known to be invalid. */
    readonly needsVersion: (head: Head) => boolean;
    /** Returns the recently refused versions, for operators. */
    readonly refusals: () => readonly VersionError[];
    /** Calls `listener` after each activation. The returned function removes the listener. */
    readonly subscribe: (listener: HeadListener) => () => void;
}

/** Creates the in-memory store of one node. */
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

    const reportRefusal = (error: VersionError): void => {
        if (refusals.record(error)) {
            logger.warn(`Refused ${formatVersionError(error)}`);
        }
    };

    const runOffer = (
        partner: PartnerName,
        applyOffer: (store: PartnerStore) => Either<VersionError, OfferOutcome>,
    ): Either<VersionError, OfferOutcome> => {
        const store = stores.get(partner);
        const result: Either<VersionError, OfferOutcome> = store === undefined ?
            either.left({ kind: "UnknownPartner", partner }) :
            applyOffer(store);
        if (either.isLeft(result)) {
            reportRefusal(result.left);
            return result;
        }
        if (store !== undefined && result.right.kind === "Applied") {
            result.right.refused.forEach(reportRefusal);
            view = new Map([...stores.values()].map(toEntry));
            logger.info("Applied a version", { partner, sequence: result.right.head.sequence });
            notify(result.right.head);
        }
        return result;
    };

    return {
        getTables: () => view,
        heads: () => [...stores.values()].map((store) => getDocumentHead(store.document())),
        document: (partner) => stores.get(partner)?.document() ?? createEmptyDocument(partner),
        offerDocument: (document) => runOffer(document.partner, (store) => store.offerDocument(document)),
        offerDeltas: (partner, deltas) => runOffer(partner, (store) => store.offerDeltas(deltas)),
        deltasSince: (partner, sequence) => stores.get(partner)?.deltasSince(sequence),
        deltaTo: (partner, sequence) => stores.get(partner)?.deltaTo(sequence),
        needsVersion: (head) => {
            const activeDocument = stores.get(head.partner)?.document();
            return activeDocument !== undefined && head.sequence > activeDocument.sequence && !isInvalid(head);
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
