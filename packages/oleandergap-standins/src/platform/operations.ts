/** Parses platform calls from HTTP requests, without running them. */
import {
    OBJECTS_PATH,
    TABLE_READ_PATH,
    TABLE_SCAN_PATH,
    TABLE_TRANSACT_PATH,
    parseObjectPath,
    platformKeySchema,
    readRequestSchema,
    scanRequestSchema,
    transactRequestSchema,
    type PlatformOperation,
    type TableState,
} from "oleandergap-platform";
import { describeInputError } from "../http/describeInputError.js";

/** `GET /table/rows/<key>` returns one row, for plain HTTP clients. Counts as a read. */
const SINGLE_ROW_PATH = "/table/rows/";

/** Response to a call. */
export type OperationResponse =
    | { readonly kind: "Json"; readonly value: unknown }
    | { readonly kind: "Bytes"; readonly body: Uint8Array }
    | { readonly kind: "NoContent" }
    | { readonly kind: "NotFound" };

/** A parsed call that has not run yet. */
export interface ParsedOperation {
    readonly operation: PlatformOperation;
    readonly run: () => OperationResponse;
}

/** A parsed call, or the reason why the request could not be parsed. */
export type ParseResult =
    | { readonly kind: "Parsed"; readonly call: ParsedOperation }
    | { readonly kind: "Unknown" }
    | { readonly kind: "Malformed"; readonly detail: string };

/** All data that the platform stand-in stores. */
export interface PlatformState {
    readonly table: TableState;
    readonly objects: Map<string, Uint8Array>;
}

/** Parts of an HTTP request that define a call. */
export interface WireRequest {
    readonly method: string;
    /** Path with query. */
    readonly url: string;
    readonly body: Uint8Array;
}

const notFoundResponse: OperationResponse = { kind: "NotFound" };

const createJsonResponse = (value: unknown): OperationResponse => ({ kind: "Json", value });

const createParsedResult = (operation: PlatformOperation, run: () => OperationResponse): ParseResult =>
    ({ kind: "Parsed", call: { operation, run } });

const parseTableCall = (state: PlatformState, path: string, body: unknown): ParseResult => {
    switch (path) {
        case TABLE_READ_PATH: {
            const { keys } = readRequestSchema.parse(body);
            return createParsedResult("Read", () => createJsonResponse({ rows: state.table.read(keys) }));
        }
        case TABLE_SCAN_PATH: {
            const { prefix, limit, after, descending } = scanRequestSchema.parse(body);
            const scanRequest = {
                prefix,
                limit,
                ...(after === undefined ? {} : { after }),
                ...(descending === undefined ? {} : { descending }),
            };
            return createParsedResult("Scan", () => createJsonResponse({ rows: state.table.scan(scanRequest) }));
        }
        case TABLE_TRANSACT_PATH: {
            const { operations } = transactRequestSchema.parse(body);
            return createParsedResult("Transact", () => createJsonResponse(state.table.transact(operations)));
        }
        default:
            return { kind: "Unknown" };
    }
};

const parseSingleRow = (state: PlatformState, path: string): ParseResult => {
    const key = platformKeySchema.parse(decodeURIComponent(path.slice(SINGLE_ROW_PATH.length)));
    return createParsedResult("Read", () => {
        const row = state.table.read([key])[0];
        return row === undefined ? notFoundResponse : createJsonResponse(row);
    });
};

const parseObjectCall = (state: PlatformState, method: string, path: string, body: Uint8Array): ParseResult => {
    const key = parseObjectPath(path);
    if (key === undefined) {
        return { kind: "Malformed", detail: "the path names no object" };
    }
    if (method === "PUT") {
        return createParsedResult("Put", () => {
            state.objects.set(key, Uint8Array.from(body));
            return { kind: "NoContent" };
        });
    }
    return createParsedResult("Get", () => {
        const object = state.objects.get(key);
        return object === undefined ? notFoundResponse : { kind: "Bytes", body: object };
    });
};

const parseCallByPath = (state: PlatformState, { method, url, body }: WireRequest): ParseResult => {
    const { pathname, searchParams } = new URL(url, "http://platform");
    if (method === "POST") {
        return parseTableCall(state, pathname, JSON.parse(Buffer.from(body).toString("utf8")));
    }
    if (method === "GET" && pathname.startsWith(SINGLE_ROW_PATH)) {
        return parseSingleRow(state, pathname);
    }
    if (method === "GET" && pathname === OBJECTS_PATH) {
        const prefix = searchParams.get("prefix") ?? "";
        const listKeys = (): readonly string[] =>
            [...state.objects.keys()].filter((key) => key.startsWith(prefix)).sort();
        return createParsedResult("List", () => createJsonResponse({ keys: listKeys() }));
    }
    if ((method === "GET" || method === "PUT") && pathname.startsWith(`${OBJECTS_PATH}/`)) {
        return parseObjectCall(state, method, pathname, body);
    }
    return { kind: "Unknown" };
};

/** Parses `request`. Returns the reason if the request is invalid; never throws. */
export const parseOperation = (state: PlatformState, request: WireRequest): ParseResult => {
    try {
        return parseCallByPath(state, request);
    }
    catch (error) {
        return { kind: "Malformed", detail: describeInputError(error) };
    }
};
