/** Selects the headers that are forwarded, as opposed to headers of a single hop or of this system. */
import type { IncomingMessage } from "node:http";
import type { ResponseHeaders } from "./upstreamResponse.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1); undici and Node.js write their own. */
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

/** Request headers that each sender generates, because the framing depends on the body that is actually sent. */
const REWRITTEN_HEADERS: ReadonlySet<string> = new Set(["content-length", "expect", "host"]);

/**
 * Prefix of the headers that only the system may set. Such headers are dropped from callers' requests, so that no
 * caller can forge a verdict or a service.
 */
const SYSTEM_HEADER_PREFIX = "oleandergap-";

/** Request between nodes: the calling service as `partner/service`, if the caller's node has identified it. */
export const CALLER_HEADER = "oleandergap-caller";

/** Request between nodes: `yes` if the request may run more than once, otherwise `no`. */
export const IDEMPOTENT_HEADER = "oleandergap-idempotent";
/** Request between nodes: priority among the requests of the target; 0 is the highest. */
export const PRIORITY_HEADER = "oleandergap-priority";

/** Request between nodes: the name of the route, used to estimate how long the request takes. */
export const KIND_HEADER = "oleandergap-kind";

/** Request between nodes: milliseconds until the latency objective; negative when it has passed. */
export const OBJECTIVE_HEADER = "oleandergap-objective-ms";

/**
 * Request between nodes: present if targets have crashed while they were running the request. The gate does not run two
 * such requests at the same time.
 */
export const SUSPECT_HEADER = "oleandergap-suspect";

/**
 * Request and response between nodes: what the target at the gate has stated about itself, if it named a request limit
 * or its departure; see `feedbackHeader.ts`.
 */
export const FEEDBACK_HEADER = "oleandergap-target-feedback";

/**
 * Request and response between nodes of one zone: the latest loads of targets in the zone that the sender has received,
 * if they report their pace. A gate responds with it only to a request that has it. See `sharedLoadsHeader.ts`.
 */
export const SHARED_LOADS_HEADER = "oleandergap-shared-loads";

/** Response between nodes: the id of the target crash during which the request was lost. */
export const CRASH_HEADER = "oleandergap-crash";

/** Request between nodes: milliseconds until the sending node, which is stopping, aborts its remaining requests. */
export const SENDER_STOPS_HEADER = "oleandergap-sender-stops-in-ms";

/** Request between nodes: time of sending by the sending node's monotonic clock; see `transitDelay.ts`. */
export const SENT_AT_HEADER = "oleandergap-sent-at";

/** Request between nodes, now and then: percentage of the time in which the sending node's event loop was busy. */
export const SENDER_BUSY_HEADER = "oleandergap-sender-busy-percent";

/** Refusal of a gate: present if it applies only to this request, so that the gate still accepts others. */
export const REQUEST_ONLY_HEADER = "oleandergap-request-only";

/**
 * Request between nodes: share of the requests of this kind that the sending node sends; absent if it sends all. See
 * `admissionShareHeader.ts`.
 */
export const SENT_SHARE_HEADER = "oleandergap-sent-share";

/** Response between nodes: share of the requests of this priority that the gate asks nodes to send; absent if all. */
export const ADMISSION_SHARE_HEADER = "oleandergap-admission-share";

/** Response between nodes: present if the target failed because an outgoing call that it made was not served. */
export const STARVED_HEADER = "oleandergap-starved";

const NO_OPTIONS: readonly string[] = [];

/** Returns the header names listed in a `Connection` header, which belong to that connection as well. */
const readConnectionOptions = (connection: string | undefined): readonly string[] => {
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return NO_OPTIONS;
    }
    return connection.split(",").map((option) => option.trim().toLowerCase());
};

/**
 * Maximum number of cached names. The bound keeps senders that use new names in each request from exhausting memory.
 */
const MAX_CACHED_NAMES = 512;

/**
 * Cache from a header name as received to its forwarded name in lower case, or undefined when the header is dropped.
 */
const forwardedNames = new Map<string, string | undefined>();

const normalizeForwardedName = (received: string): string | undefined => {
    const name = received.toLowerCase();
    const isDropped = HOP_BY_HOP_HEADERS.has(name) ||
        REWRITTEN_HEADERS.has(name) ||
        name.startsWith(SYSTEM_HEADER_PREFIX);
    return isDropped ? undefined : name;
};

/**
 * Returns the forwarded name of a header from the cache. Callers use the same few names, and a cache lookup takes a
 * third of the time that computing the result takes.
 */
const getForwardedName = (received: string): string | undefined => {
    if (forwardedNames.has(received)) {
        return forwardedNames.get(received);
    }
    const name = normalizeForwardedName(received);
    if (forwardedNames.size < MAX_CACHED_NAMES) {
        forwardedNames.set(received, name);
    }
    return name;
};

const NO_NAMES: ReadonlySet<string> = new Set();

/**
 * Returns the headers of a request that are forwarded to the next hop, as alternating names and values.
 *
 * @param reservedNames further header names to drop, in lower case
 */
export const selectRequestHeaders = (
    request: IncomingMessage,
    reservedNames: ReadonlySet<string> = NO_NAMES,
): string[] => {
    const rawHeaders = request.rawHeaders;
    const connectionOptions = readConnectionOptions(request.headers.connection);
    const selected: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = getForwardedName(rawHeaders[index] ?? "");
        if (name !== undefined && !connectionOptions.includes(name) && !reservedNames.has(name)) {
            selected.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return selected;
};

/** Returns how often a header occurs in a request as received. */
export const countHeader = (request: IncomingMessage, headerName: string): number => {
    let count = 0;
    for (let index = 0; index < request.rawHeaders.length; index += 2) {
        const name = request.rawHeaders[index] ?? "";
        if (name.length === headerName.length && name.toLowerCase() === headerName) {
            count++;
        }
    }
    return count;
};

/** Returns the value of a request header, or undefined when it is absent or ambiguous. */
export const readRequestHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
};

/** Returns a new object with the headers of a response that are forwarded to the previous hop. */
export const selectResponseHeaders = (headers: ResponseHeaders): Record<string, string | string[]> => {
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

/** Returns the headers of a response as pairs, in the order received. */
export const flattenResponseHeaders = (headers: ResponseHeaders): readonly (readonly [name: string, value: string])[] =>
    Object.entries(headers).flatMap(([name, value]) => {
        if (value === undefined) {
            return [];
        }
        const values = typeof value === "string" ? [value] : value;
        return values.map((text): [string, string] => [name, text]);
    });

/** Returns the value of a header in a list of alternating names and values, or undefined when it is absent. */
export const readHeaderPair = (pairs: readonly string[], headerName: string): string | undefined => {
    for (let index = 0; index + 1 < pairs.length; index += 2) {
        if (pairs[index] === headerName) {
            return pairs[index + 1];
        }
    }
    return undefined;
};
