/**
 * Parses the response to one HTTP/1.1 request (RFC 9112) as it arrives from a connection. Whatever is not exactly a
 * response is refused: if two readers understand the framing of a message differently, a part of one response can be
 * taken for the next one.
 */
import { createChunkedBodyReader } from "./chunkedBody.js";
import {
    FIRST_FINAL_STATUS,
    MalformedResponseError,
    readResponseHead,
    selectFraming,
    type Framing,
    type ResponseHead,
} from "./responseHead.js";
import { CARRIAGE_RETURN, LINE_FEED, NO_BYTES } from "./syntax.js";

/** Maximum size of a head, in bytes. Bounds what is kept of a head that does not end. */
const MAX_HEAD_BYTES = 64 * 1024;

const HEAD_END = "\r\n\r\n";

/** Receives the parts of a response. */
export interface ResponseEvents {
    readonly onHead: (head: ResponseHead) => void;
    /** The chunk is a view of the bytes that were passed to the parser. */
    readonly onData: (chunk: Buffer) => void;
}

type State = "Head" | "LengthBody" | "BodyUntilEnd" | "ChunkedBody" | "Complete";

export interface ResponseParser {
    /**
     * Parses bytes. Returns the number of bytes that belong to the response; the rest belongs to no request.
     *
     * @throws MalformedResponseError
     */
    readonly parse: (bytes: Buffer) => number;
    /** Returns whether the final head has arrived and the body has not ended. */
    readonly isBody: () => boolean;
    readonly isComplete: () => boolean;
    /** Returns whether the end of the connection is the end of the response. */
    readonly endsWithConnection: () => boolean;
}

/** Servers may send empty lines before a status line; parsers skip them. */
const skipEmptyLines = (bytes: Buffer): number => {
    let index = 0;
    while (bytes[index] === CARRIAGE_RETURN && bytes[index + 1] === LINE_FEED) {
        index += 2;
    }
    return index;
};

/**
 * Creates a parser.
 *
 * @param method Method of the request
 */
export const createResponseParser = (method: string, events: ResponseEvents): ResponseParser => {
    let state: State = "Head";
    /** The beginning of a head whose end has not arrived. */
    let pending = NO_BYTES;
    let remainingBytes = 0;
    const chunkedBody = createChunkedBodyReader(events.onData);

    const startBody = (framing: Framing): void => {
        switch (framing.kind) {
            case "None":
                state = "Complete";
                return;
            case "Length":
                remainingBytes = framing.bytes;
                state = remainingBytes === 0 ? "Complete" : "LengthBody";
                return;
            case "Chunked":
                state = "ChunkedBody";
                return;
            case "UntilEnd":
                state = "BodyUntilEnd";
                return;
        }
    };

    const handleHead = (text: string): void => {
        const head = readResponseHead(text);
        const framing = selectFraming(method, head);
        if (head.statusCode >= FIRST_FINAL_STATUS) {
            startBody(framing);
        }
        events.onHead(head);
    };

    const parseHead = (bytes: Buffer, from: number): number => {
        const keptBytes = pending.length;
        const rest = bytes.subarray(from);
        const all = keptBytes === 0 ? rest : Buffer.concat([pending, rest]);
        const start = skipEmptyLines(all);
        // The end may lie on the border of what was kept.
        const end = all.indexOf(HEAD_END, Math.max(start, keptBytes - HEAD_END.length + 1), "latin1");
        if ((end === -1 ? all.length : end) - start > MAX_HEAD_BYTES) {
            throw new MalformedResponseError(`the head is larger than ${MAX_HEAD_BYTES} bytes`);
        }
        if (end === -1) {
            // A copy, because the bytes belong to the connection.
            pending = Buffer.from(all.subarray(start));
            return bytes.length;
        }
        pending = NO_BYTES;
        handleHead(all.toString("latin1", start, end));
        return from + end + HEAD_END.length - keptBytes;
    };

    const parseLengthBody = (bytes: Buffer, from: number): number => {
        const end = Math.min(bytes.length, from + remainingBytes);
        remainingBytes -= end - from;
        if (remainingBytes === 0) {
            state = "Complete";
        }
        events.onData(bytes.subarray(from, end));
        return end;
    };

    const parseChunkedBody = (bytes: Buffer, from: number): number => {
        const end = chunkedBody.read(bytes, from);
        if (chunkedBody.isComplete()) {
            state = "Complete";
        }
        return end;
    };

    const parseNext = (bytes: Buffer, from: number): number => {
        switch (state) {
            case "Head":
                return parseHead(bytes, from);
            case "LengthBody":
                return parseLengthBody(bytes, from);
            case "ChunkedBody":
                return parseChunkedBody(bytes, from);
            default:
                events.onData(bytes.subarray(from));
                return bytes.length;
        }
    };

    return {
        parse: (bytes) => {
            let index = 0;
            while (index < bytes.length && state !== "Complete") {
                index = parseNext(bytes, index);
            }
            return index;
        },
        isBody: () => state !== "Head" && state !== "Complete",
        isComplete: () => state === "Complete",
        endsWithConnection: () => state === "BodyUntilEnd",
    };
};
