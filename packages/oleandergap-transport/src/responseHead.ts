/** Reads the heads of HTTP/1.1 responses (RFC 9112), and selects how their bodies end. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { ResponseHeaders } from "./requestTransport.js";
import { FIELD_VALUE_PATTERN, TOKEN_PATTERN } from "./syntax.js";

/** Maximum size of all names and values of a head or of the trailers, in bytes; as in Node.js. */
export const MAX_FIELD_BYTES = 16 * 1024;

const STATUS_LINE_PATTERN = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: [\t\x20-\x7E\x80-\xFF]*)?$/;
const SURROUNDING_SPACE_PATTERN = /^[\t ]+|[\t ]+$/g;
const LENGTH_PATTERN = /^\d{1,15}$/;
const KEEP_ALIVE_PATTERN = /(?:^|[\s,])timeout=(\d{1,6})/i;

/** Lowest status of a final response; lower ones are informational. */
export const FIRST_FINAL_STATUS = 200;
const SWITCHING_PROTOCOLS = 101;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Head of a response. */
export interface ResponseHead {
    readonly statusCode: number;
    readonly headers: ResponseHeaders;
    /** Whether the remote side keeps the connection open after the response. */
    readonly keepAlive: boolean;
    /** Idle time after which the remote side closes the connection; undefined if it names none. */
    readonly keepAliveMs: Milliseconds | undefined;
}

/** How a body ends. */
export type Framing =
    | { readonly kind: "None" }
    | { readonly kind: "Length"; readonly bytes: number }
    | { readonly kind: "Chunked" }
    | { readonly kind: "UntilEnd" };

/** Thrown for bytes that are no response. */
export class MalformedResponseError extends Error {}

const readStatusLine = (line: string): { readonly minorVersion: number; readonly statusCode: number } => {
    const match = STATUS_LINE_PATTERN.exec(line);
    if (match === null) {
        throw new MalformedResponseError(`malformed status line "${line.slice(0, 40)}"`);
    }
    return { minorVersion: Number(match[1]), statusCode: Number(match[2]) };
};

const trimField = (value: string): string => value.replace(SURROUNDING_SPACE_PATTERN, "");

/** Names of headers as received, with the same names in lower case. Remote sides use the same few names. */
const lowerCaseNames = new Map<string, string>();
/** Bounds the memory if remote sides send ever new names. */
const MAX_CACHED_NAMES = 512;

const normalizeName = (received: string): string => {
    const known = lowerCaseNames.get(received);
    if (known !== undefined) {
        return known;
    }
    if (!TOKEN_PATTERN.test(received)) {
        throw new MalformedResponseError(`malformed header name "${received.slice(0, 40)}"`);
    }
    const name = received.toLowerCase();
    if (lowerCaseNames.size < MAX_CACHED_NAMES) {
        lowerCaseNames.set(received, name);
    }
    return name;
};

const addField = (headers: Record<string, string | string[]>, name: string, value: string): void => {
    const existing = headers[name];
    if (existing === undefined) {
        headers[name] = value;
    }
    else if (typeof existing === "string") {
        headers[name] = [existing, value];
    }
    else {
        existing.push(value);
    }
};

/** Reads the lines of headers or trailers. */
export const readFields = (lines: readonly string[]): Record<string, string | string[]> => {
    // Without a prototype, so that a header called "constructor" is a header.
    const headers = Object.create(null) as Record<string, string | string[]>;
    let fieldBytes = 0;
    for (const line of lines) {
        const colon = line.indexOf(":");
        if (colon < 1) {
            throw new MalformedResponseError(`malformed header line "${line.slice(0, 40)}"`);
        }
        const name = normalizeName(line.slice(0, colon));
        const value = trimField(line.slice(colon + 1));
        if (!FIELD_VALUE_PATTERN.test(value)) {
            throw new MalformedResponseError(`malformed value of the header "${name}"`);
        }
        fieldBytes += name.length + value.length;
        addField(headers, name, value);
    }
    if (fieldBytes >= MAX_FIELD_BYTES) {
        throw new MalformedResponseError(`the head is larger than ${MAX_FIELD_BYTES} bytes`);
    }
    return headers;
};

const joinValues = (value: string | readonly string[] | undefined): string =>
    typeof value === "object" ? value.join(",") : value ?? "";

const hasConnectionOption = (headers: ResponseHeaders, option: string): boolean => {
    const connection = headers["connection"];
    return connection !== undefined &&
        joinValues(connection).toLowerCase().split(",").some((name) => name.trim() === option);
};

const readLength = (value: string | readonly string[]): number => {
    if (typeof value !== "string" || !LENGTH_PATTERN.test(value)) {
        throw new MalformedResponseError(`malformed content length "${joinValues(value).slice(0, 40)}"`);
    }
    return Number(value);
};

/**
 * Selects the framing (RFC 9112, section 6.3). Ambiguous framing is refused.
 *
 * @param method Method of the request
 * @throws MalformedResponseError
 */
export const selectFraming = (method: string, { statusCode, headers }: ResponseHead): Framing => {
    const encoding = headers["transfer-encoding"];
    const declaredLength = headers["content-length"];
    const length = declaredLength === undefined ? undefined : readLength(declaredLength);
    if (encoding !== undefined) {
        if (length !== undefined) {
            throw new MalformedResponseError("both a content length and a transfer encoding");
        }
        if (typeof encoding !== "string" || encoding.toLowerCase() !== "chunked") {
            throw new MalformedResponseError(`unknown transfer encoding "${joinValues(encoding).slice(0, 40)}"`);
        }
    }
    if (statusCode === NO_CONTENT && method !== "HEAD" && (encoding !== undefined || (length ?? 0) > 0)) {
        throw new MalformedResponseError("a body is declared for a status that has none");
    }
    if (method === "HEAD" || statusCode < FIRST_FINAL_STATUS || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED) {
        return { kind: "None" };
    }
    if (encoding !== undefined) {
        return { kind: "Chunked" };
    }
    return length === undefined ? { kind: "UntilEnd" } : { kind: "Length", bytes: length };
};

const readKeepAliveMs = (headers: ResponseHeaders): Milliseconds | undefined => {
    const value = headers["keep-alive"];
    const match = value === undefined ? null : KEEP_ALIVE_PATTERN.exec(joinValues(value));
    return match === null ? undefined : Number(match[1]) * MILLISECONDS_PER_SECOND;
};

/**
 * Reads a head without the empty line that ends it.
 *
 * @throws MalformedResponseError
 */
export const readResponseHead = (text: string): ResponseHead => {
    const lines = text.split("\r\n");
    const { minorVersion, statusCode } = readStatusLine(lines[0] ?? "");
    if (statusCode === SWITCHING_PROTOCOLS) {
        throw new MalformedResponseError("the remote side changed the protocol, which was not asked for");
    }
    const headers = readFields(lines.slice(1));
    const keepAlive = minorVersion === 0 ?
        hasConnectionOption(headers, "keep-alive") :
        !hasConnectionOption(headers, "close");
    return { statusCode, headers, keepAlive, keepAliveMs: readKeepAliveMs(headers) };
};
