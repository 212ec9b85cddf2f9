/**
 * Follows the era of one store over all connections to it. An answer of an earlier era than the newest one seen tells
 * of a history that is gone: taken for news, it would set a reader to a version that now stands for other contents, and
 * one would see changes passed over.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import { DEFAULT_STORE_ERA, type StoreEra } from "oleandergap-types";

/** Why an answer must not be taken for news. */
export type EraError =
    | { readonly kind: "UnreadableEra"; readonly text: string }
    | { readonly kind: "EarlierEra"; readonly era: StoreEra; readonly newest: StoreEra };

/** Totals since the start of the process. */
export interface EraCounters {
    /** Times that the store was restored, as far as this process has noticed. */
    readonly storeRestores: number;
    /** Answers left unused because their era was unreadable or over. */
    readonly answersOutOfEra: number;
}

/** The era of one store. */
export interface EraWatch {
    /** The newest era seen; undefined before the first answer. */
    readonly newest: () => StoreEra | undefined;
    /** Takes the era that an answer names; undefined when it names none. */
    readonly note: (text: string | undefined) => Either<EraError, StoreEra>;
    readonly counters: () => EraCounters;
}

/** Digits alone, few enough to be exact. */
const ERA_PATTERN = /^\d{1,15}$/;

const describe = (error: EraError): string => {
    switch (error.kind) {
        case "UnreadableEra":
            return "The store names an era that cannot be read; its answer is left unused.";
        case "EarlierEra":
            return "The store names an earlier era than before; its answer is left unused.";
    }
};

/** Logs each kind of error once: a store that repeats it with each answer would fill the log. */
export const createEraWatch = (logger: Logger): EraWatch => {
    let newest: StoreEra | undefined;
    const counters = { storeRestores: 0, answersOutOfEra: 0 };
    const logged = new Set<EraError["kind"]>();

    const refuse = (error: EraError): Either<EraError, never> => {
        counters.answersOutOfEra += 1;
        if (!logged.has(error.kind)) {
            logged.add(error.kind);
            logger.warn(describe(error), { ...error });
        }
        return either.left(error);
    };

    const advance = (era: StoreEra): void => {
        if (newest !== undefined && era > newest) {
            counters.storeRestores += 1;
            logger.warn("The store was restored from an older copy; what that lacks is read and written anew.", {
                era,
                previousEra: newest,
            });
        }
        newest = era;
    };

    return {
        newest: () => newest,
        note: (text) => {
            if (text !== undefined && !ERA_PATTERN.test(text)) {
                return refuse({ kind: "UnreadableEra", text });
            }
            const era = text === undefined ? DEFAULT_STORE_ERA : Number(text);
            if (newest !== undefined && era < newest) {
                return refuse({ kind: "EarlierEra", era, newest });
            }
            advance(era);
            return either.right(era);
        },
        counters: () => ({ ...counters }),
    };
};
