/** Which headers travel on, and which belong to one hop or to the system. */
import type { IncomingMessage } from "node:http";
import type { AnswerHeaders } from "./answer.js";

/** Headers of one connection (RFC 9110, section 7.6.1); undici and Node.js write their own. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Headers of a request that the sender writes anew: the framing belongs to the body that is really sent. */
const REWRITTEN_HEADERS: ReadonlySet<string> = new Set(["content-length", "expect", "host"]);

/** Headers that only the system may set; a caller's are dropped, so that nobody forges a verdict or a service. */
const SYSTEM_HEADER_PREFIX = "oleandergap-";

/** Request between nodes: the service that calls, as `partner/service`, when the node of the caller knows it. */
export const CALLER_HEADER = "oleandergap-caller";

/** Request between nodes: `yes` if the request may run more than once, else `no`. */
export const IDEMPOTENT_HEADER = "oleandergap-idempotent";
/** Request between nodes: rank among the requests of the target; 0 goes first. */
export const PRIORITY_HEADER = "oleandergap-priority";

/** Request between nodes: the name of the route, for forecasts of the time that the request takes. */
export const KIND_HEADER = "oleandergap-kind";

/** Request between nodes: milliseconds until an answer is worth less, negative when that has passed. */
export const OBJECTIVE_HEADER = "oleandergap-objective-ms";

/** Request between nodes: present if targets have crashed beside the request; its gate runs it beside no other such. */
export const SUSPECT_HEADER = "oleandergap-suspect";

/** Answer between nodes: the id of the crash of the target that the request was lost to. */
export const CRASH_HEADER = "oleandergap-crash";

/** Answer between nodes: present if the target failed because a call that it made was not served. */
export const STARVED_HEADER = "oleandergap-starved";

const NO_OPTIONS: readonly string[] = [];

/** Names that a `Connection` header lists are headers of that connection as well. */
const readConnectionOptions = (connection: string | undefined): readonly string[] => {
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return NO_OPTIONS;
    }
    return connection.split(",").map((option) => option.trim().toLowerCase());
};

/** Names whose fate is remembered; a sender of ever new names must not fill the memory. */
const MAX_REMEMBERED_NAMES = 512;

/** What becomes of a header by its name as received: its name in lower case, or undefined when it stays behind. */
const rememberedNames = new Map<string, string | undefined>();

const judgeName = (received: string): string | undefined => {
    const name = received.toLowerCase();
    const isDropped = HOP_BY_HOP_HEADERS.has(name) ||
        REWRITTEN_HEADERS.has(name) ||
        name.startsWith(SYSTEM_HEADER_PREFIX);
    return isDropped ? undefined : name;
};

/** Callers use the same few names over and over; looking them up costs a third of judging them anew. */
const nameOnwards = (received: string): string | undefined => {
    if (rememberedNames.has(received)) {
        return rememberedNames.get(received);
    }
    const name = judgeName(received);
    if (rememberedNames.size < MAX_REMEMBERED_NAMES) {
        rememberedNames.set(received, name);
    }
    return name;
};

const NO_NAMES: ReadonlySet<string> = new Set();

/**
 * The headers of a request that go on to the next hop, names and values in turn.
 *
 * @param reserved further names that stay behind, in lower case
 */
export const selectRequestHeaders = (
    request: IncomingMessage,
    reserved: ReadonlySet<string> = NO_NAMES,
): string[] => {
    const raw = request.rawHeaders;
    const connectionOptions = readConnectionOptions(request.headers.connection);
    const selected: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = nameOnwards(raw[index] ?? "");
        if (name !== undefined && !connectionOptions.includes(name) && !reserved.has(name)) {
            selected.push(name, raw[index + 1] ?? "");
        }
    }
    return selected;
};

/** How often a header occurs in a request as received. */
export const countHeader = (request: IncomingMessage, wanted: string): number => {
    let count = 0;
    for (let index = 0; index < request.rawHeaders.length; index += 2) {
        const name = request.rawHeaders[index] ?? "";
        if (name.length === wanted.length && name.toLowerCase() === wanted) {
            count++;
        }
    }
    return count;
};

/** The value of a request header, or undefined when it is absent or ambiguous. */
export const readRequestHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
};

/** A fresh copy of the headers of an answer that go on to the previous hop. */
export const selectAnswerHeaders = (headers: AnswerHeaders): Record<string, string | string[]> => {
    const connection = headers["connection"];
    const connectionOptions = readConnectionOptions(typeof connection === "string" ? connection : undefined);
    const selected: Record<string, string | string[]> = {};
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        const isDropped = HOP_BY_HOP_HEADERS.has(name) ||
            name.startsWith(SYSTEM_HEADER_PREFIX) ||
            connectionOptions.includes(name);
        if (value !== undefined && !isDropped) {
            selected[name] = typeof value === "string" ? value : [...value];
        }
    }
    return selected;
};

/** The headers of an answer as pairs, in the order received. */
export const flattenAnswerHeaders = (headers: AnswerHeaders): readonly (readonly [name: string, value: string])[] =>
    Object.entries(headers).flatMap(([name, value]) => {
        if (value === undefined) {
            return [];
        }
        const values = typeof value === "string" ? [value] : value;
        return values.map((text): [string, string] => [name, text]);
    });

/** The value of a header in a list of names and values in turn; undefined when it is absent. */
export const readHeaderPair = (pairs: readonly string[], wanted: string): string | undefined => {
    for (let index = 0; index + 1 < pairs.length; index += 2) {
        if (pairs[index] === wanted) {
            return pairs[index + 1];
        }
    }
    return undefined;
};
