/** HTTP client of the platform's table service. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { PlatformError, TableRow, TableScan, TableService } from "oleandergap-types";
import type { z } from "zod";
import { createChannel, type Channel, type ChannelOptions } from "./channel.js";
import type { CallKind } from "./classifyExchange.js";
import type { PlatformCounters } from "./platformCounters.js";
import { parseJson } from "./parseJson.js";
import {
    rowsResponseSchema,
    TABLE_READ_PATH,
    TABLE_SCAN_PATH,
    TABLE_TRANSACT_PATH,
    transactResponseSchema,
    type ReadRequest,
    type ScanRequest,
    type TransactRequest,
} from "./wire.js";

/** The table service port, extended by counters of its calls. */
export interface TableServiceClient extends TableService {
    readonly counters: () => PlatformCounters;
}

const STATUS_OK = 200;

const matchesRead = (keys: readonly string[], rows: readonly TableRow[]): boolean =>
    rows.length <= keys.length && rows.every((row) => keys.includes(row.key));

const matchesScan = ({ prefix, limit }: TableScan, rows: readonly TableRow[]): boolean =>
    rows.length <= limit && rows.every((row) => row.key.startsWith(prefix));

/** Creates a table service client that uses the connections of `channel`. An object store client may share them. */
export const createTableServiceOnChannel = (channel: Channel): TableServiceClient => {
    const post = <Schema extends z.ZodType>(
        kind: CallKind,
        path: string,
        request: ReadRequest | ScanRequest | TransactRequest,
        schema: Schema,
        signal: AbortSignal,
    ): TaskEither<PlatformError, z.output<Schema>> => async () => {
        const body = JSON.stringify(request);
        const response = await channel.call(kind, { method: "POST", path, body }, signal);
        if (either.isLeft(response)) {
            return response;
        }
        if (response.right.status !== STATUS_OK) {
            return either.left(channel.rejectResponse(kind, `unexpected status ${response.right.status} for ${path}`));
        }
        const parsedBody = parseJson(schema, response.right.body);
        return parsedBody === undefined ?
            either.left(channel.rejectResponse(kind, `unreadable answer to ${path}`)) :
            either.right(parsedBody.parsed);
    };

    /**
     * Reads rows and checks them against the request. A broken intermediary may swap two responses, and a caller would
     * then receive the rows of another request. A response that contains rows that were not requested is rejected as a
     * whole.
     */
    const readRows = (
        path: string,
        request: ReadRequest | ScanRequest,
        matchesRequest: (rows: readonly TableRow[]) => boolean,
        signal: AbortSignal,
    ): TaskEither<PlatformError, readonly TableRow[]> => async () => {
        const response = await post("Read", path, request, rowsResponseSchema, signal)();
        if (either.isLeft(response)) {
            return response;
        }
        const { rows } = response.right;
        return matchesRequest(rows) ?
            either.right(rows) :
            either.left(channel.rejectResponse("Read", `the answer to ${path} holds rows that were not asked for`));
    };

    return {
        read: (keys, signal) =>
            readRows(TABLE_READ_PATH, { keys: [...keys] }, (rows) => matchesRead(keys, rows), signal),
        scan: (scan, signal) => readRows(TABLE_SCAN_PATH, scan, (rows) => matchesScan(scan, rows), signal),
        transact: (operations, signal) =>
            post("Write", TABLE_TRANSACT_PATH, { operations: [...operations] }, transactResponseSchema, signal),
        counters: channel.counters,
    };
};

/** Creates a table service client with its own connections. */
export const createTableServiceClient = (options: ChannelOptions): TableServiceClient =>
    createTableServiceOnChannel(createChannel(options));
