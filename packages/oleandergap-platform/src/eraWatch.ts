/**
 * Tracks the era of one store over all connections to it. The era is a number that increases each time the store is
 * restored from a backup, and a restored store assigns the same row versions again. A response from an earlier era
 * than the newest one seen belongs to a history that no longer exists. If a reader used it, the reader would continue
 * from a version that now identifies other contents, and would miss changes.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import { DEFAULT_STORE_ERA, type StoreEra } from "oleandergap-types";

/** Reason why a response must not be used. */
export type EraError =
    | { readonly kind: "UnreadableEra"; readonly text: string }
    | { readonly kind: "EarlierEra"; readonly era: StoreEra; readonly newest: StoreEra };

/** Totals since the start of the process. */
export interface EraCounters {
    /** Number of restores of the store that this process has detected. */
    readonly storeRestores: number;
    /** Number of responses that were discarded because their era was unreadable or outdated. */
    readonly answersOutOfEra: number;
}

/** Tracks the era of one store. */
export interface EraWatch {
    /** Returns the newest era seen; undefined before the first response. */
    readonly newest: () => StoreEra | undefined;
    /**
     * Records the era in `text`, the era header of a response; undefined when the response has no such header. Returns
     * an error if the response must not be used.
     */
    readonly note: (text: string | undefined) => Either<EraError, StoreEra>;
    readonly counters: () => EraCounters;
    /** Calls the listener after each restore of the store that this process has detected. */
    readonly subscribe: (listener: () => void) => void;
}

/** Decimal digits only; 15 digits are represented exactly by a number. */
const ERA_PATTERN = /^\d{1,15}$/;

const describeEraError = (error: EraError): string => {
    switch (error.kind) {
        case "UnreadableEra":
            return "The store reported an unreadable era; its response is discarded.";
        case "EarlierEra":
            return "The store reported an earlier era than before; its response is discarded.";
    }
};

/** Creates an era watch. It logs each kind of error once, as a store may repeat the error in every response. */
export const createEraWatch = (logger: Logger): EraWatch => {
    let newest: StoreEra | undefined;
    const counters = { storeRestores: 0, answersOutOfEra: 0 };
    const loggedKinds = new Set<EraError["kind"]>();
    const listeners: (() => void)[] = [];

    const reject = (error: EraError): Either<EraError, never> => {
        counters.answersOutOfEra += 1;
        if (!loggedKinds.has(error.kind)) {
            loggedKinds.add(error.kind);
            logger.warn(describeEraError(error), { ...error });
        }
        return either.left(error);
    };

    const advance = (era: StoreEra): void => {
        const isRestored = newest !== undefined && era > newest;
        if (isRestored) {
            counters.storeRestores += 1;
            logger.warn("The store was restored from a backup; missing data will be read and written again.", {
                era,
                previousEra: newest,
            });
        }
        newest = era;
        if (isRestored) {
            listeners.forEach((listener) => listener());
        }
    };

    return {
        newest: () => newest,
        note: (text) => {
            if (text !== undefined && !ERA_PATTERN.test(text)) {
                return reject({ kind: "UnreadableEra", text });
            }
            const era = text === undefined ? DEFAULT_STORE_ERA : Number(text);
            if (newest !== undefined && era < newest) {
                return reject({ kind: "EarlierEra", era, newest });
            }
            advance(era);
            return either.right(era);
        },
        counters: () => ({ ...counters }),
        subscribe: (listener) => {
            listeners.push(listener);
        },
    };
};
