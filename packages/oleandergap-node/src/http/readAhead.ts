/**
 * Reads on in a body while nobody takes it, up to a limit.
 *
 * A connection that is not read does not tell its end. An upload that waits for a target would otherwise be sent on
 * although its caller has disconnected.
 */

/** Chunks of a body, in order. */
export type BodyChunks = AsyncIterator<Buffer, undefined>;

/** Memory that all waiting uploads of a node share. */
export interface ReadAheadBudget {
    /** Returns whether an upload that has read `aheadBytes` may read on. */
    readonly mayRead: (aheadBytes: number) => boolean;
    /** Records bytes that were read ahead, or, if negative, that were taken. */
    readonly add: (bytes: number) => void;
}

const MEBIBYTE = 1024 * 1024;
/** Maximum number of bytes that are read ahead of one upload. */
const MAX_UPLOAD_BYTES = 4 * MEBIBYTE;
/** Maximum number of bytes that are read ahead of all uploads of a node. */
const MAX_TOTAL_BYTES = 16 * MEBIBYTE;

/** Creates the budget of a node. */
export const createReadAheadBudget = (): ReadAheadBudget => {
    let totalBytes = 0;
    return {
        mayRead: (aheadBytes) => aheadBytes < MAX_UPLOAD_BYTES && totalBytes < MAX_TOTAL_BYTES,
        add: (bytes) => {
            totalBytes += bytes;
        },
    };
};

/** Starts to read ahead. The first call of `next` ends it and returns what was read, then the rest. */
export const readAhead = (chunks: BodyChunks, budget: ReadAheadBudget): Pick<BodyChunks, "next"> => {
    const results: Promise<IteratorResult<Buffer, undefined>>[] = [];
    let aheadBytes = 0;
    let isTaken = false;

    const record = (bytes: number): void => {
        aheadBytes += bytes;
        budget.add(bytes);
    };

    const readOn = async (): Promise<void> => {
        while (!isTaken && budget.mayRead(aheadBytes)) {
            const result = chunks.next();
            results.push(result);
            const { done, value } = await result;
            if (done === true) {
                return;
            }
            record(value.length);
        }
    };

    // A failure is reported to whoever takes the body. Without one, the end of the connection aborts the request.
    readOn().catch(() => undefined);
    return {
        next: async () => {
            isTaken = true;
            const ahead = results.shift();
            if (ahead === undefined) {
                return chunks.next();
            }
            const result = await ahead;
            record(result.done === true ? 0 : -result.value.length);
            return result;
        },
    };
};
