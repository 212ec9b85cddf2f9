/** Reads a chunked body (RFC 9112, section 7.1) as it arrives from a connection. */
import { MalformedResponseError, MAX_FIELD_BYTES, readFields } from "./responseHead.js";
import { CARRIAGE_RETURN, HEXADECIMAL, LINE_FEED, NO_BYTES, TOKEN } from "./syntax.js";

/** Maximum size of the line before a chunk, in bytes: the size and the extensions, which are ignored. */
const MAX_LINE_BYTES = 4 * 1024;
/** Longest chunk size, in hexadecimal digits; larger sizes exceed the safe integers. */
const MAX_SIZE_DIGITS = 13;

const QUOTED_STRING = "\"[\\t \\x21\\x23-\\x5B\\x5D-\\x7E]*\"";
/** A size, and extensions with and without values, which are ignored. */
const SIZE_LINE_PATTERN = new RegExp(`^([0-9A-Fa-f]+)(?:;${TOKEN}(?:=(?:${TOKEN}|${QUOTED_STRING}))?)*$`);

type State = "SizeLine" | "Data" | "DataEnd" | "Trailer" | "Complete";

export interface ChunkedBodyReader {
    /**
     * Reads bytes from an index on. Returns the index after the last byte that was read.
     *
     * @throws MalformedResponseError
     */
    readonly read: (bytes: Buffer, from: number) => number;
    readonly isComplete: () => boolean;
}

/** Creates a reader that passes the data to `onData`, as views of the bytes that it reads. */
export const createChunkedBodyReader = (onData: (chunk: Buffer) => void): ChunkedBodyReader => {
    let state: State = "SizeLine";
    let remainingBytes = 0;
    let trailerBytes = 0;
    /** The beginning of a line whose end has not arrived. */
    let pending = NO_BYTES;

    const readData = (bytes: Buffer, from: number): number => {
        const end = Math.min(bytes.length, from + remainingBytes);
        remainingBytes -= end - from;
        if (remainingBytes === 0) {
            state = "DataEnd";
        }
        onData(bytes.subarray(from, end));
        return end;
    };

    const handleSizeLine = (line: string): void => {
        const digits = SIZE_LINE_PATTERN.exec(line)?.[1];
        if (digits === undefined || digits.length > MAX_SIZE_DIGITS) {
            throw new MalformedResponseError(`malformed chunk size "${line.slice(0, 40)}"`);
        }
        remainingBytes = Number.parseInt(digits, HEXADECIMAL);
        state = remainingBytes === 0 ? "Trailer" : "Data";
    };

    const handleDataEnd = (line: string): void => {
        if (line !== "") {
            throw new MalformedResponseError("a chunk is longer than its size");
        }
        state = "SizeLine";
    };

    /** Trailers are not forwarded, and are only checked. */
    const handleTrailer = (line: string): void => {
        if (line === "") {
            state = "Complete";
            return;
        }
        trailerBytes += line.length;
        if (trailerBytes >= MAX_FIELD_BYTES) {
            throw new MalformedResponseError(`the trailers are larger than ${MAX_FIELD_BYTES} bytes`);
        }
        readFields([line]);
    };

    const handleLine = (line: string): void => {
        switch (state) {
            case "SizeLine":
                handleSizeLine(line);
                return;
            case "DataEnd":
                handleDataEnd(line);
                return;
            default:
                handleTrailer(line);
        }
    };

    const joinPending = (bytes: Buffer): Buffer => {
        const joined = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
        if (joined.length > MAX_LINE_BYTES) {
            throw new MalformedResponseError(`a line within a chunked body is longer than ${MAX_LINE_BYTES} bytes`);
        }
        return joined;
    };

    const readLine = (bytes: Buffer, from: number): number => {
        const lineFeed = bytes.indexOf(LINE_FEED, from);
        if (lineFeed === -1) {
            // A copy, because the bytes belong to the connection.
            pending = Buffer.from(joinPending(bytes.subarray(from)));
            return bytes.length;
        }
        const line = joinPending(bytes.subarray(from, lineFeed + 1));
        pending = NO_BYTES;
        if (line[line.length - 2] !== CARRIAGE_RETURN) {
            throw new MalformedResponseError("a line within a chunked body ends without a carriage return");
        }
        handleLine(line.toString("latin1", 0, line.length - 2));
        return lineFeed + 1;
    };

    return {
        read: (bytes, from) => {
            let index = from;
            while (index < bytes.length && state !== "Complete") {
                index = state === "Data" ? readData(bytes, index) : readLine(bytes, index);
            }
            return index;
        },
        isComplete: () => state === "Complete",
    };
};
