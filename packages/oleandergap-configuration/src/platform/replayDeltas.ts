/** Derives a later version of a document by applying the deltas in between. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Delta, PartnerDocument, PlatformError, Sequence } from "oleandergap-types";
import { applyDeltas } from "../version/delta.js";
import { formatVersionError } from "../version/versionError.js";

type PlatformResult<Value> = Promise<Either<PlatformError, Value>>;

/** Returns the error of a read whose rows are inconsistent or cannot be parsed. */
export const createUnreadableError = (detail: string): PlatformError => ({ kind: "Unavailable", detail });

/** Last document that a replay reached, and the error if it stopped before the requested version. */
export interface ReplayResult {
    readonly document: PartnerDocument;
    readonly error?: PlatformError;
}

/** Reads and applies pages of deltas until the document reaches version `sequence`. */
export const replayDeltas = async (
    base: PartnerDocument,
    sequence: Sequence,
    readDeltas: (after: Sequence) => PlatformResult<readonly Delta[]>,
): Promise<ReplayResult> => {
    let document = base;
    while (document.sequence < sequence) {
        const page = await readDeltas(document.sequence);
        if (either.isLeft(page)) {
            return { document, error: page.left };
        }
        const requestedDeltas = page.right.filter((delta) => delta.sequence <= sequence);
        if (requestedDeltas.length === 0) {
            return { document, error: createUnreadableError(`the delta after version ${document.sequence} is missing`) };
        }
        const next = applyDeltas(document, requestedDeltas);
        if (either.isLeft(next)) {
            return { document, error: createUnreadableError(formatVersionError(next.left)) };
        }
        document = next.right;
    }
    return { document };
};
