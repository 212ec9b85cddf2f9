/** HTTP client of the platform's object store. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { ObjectStore, PlatformError } from "oleandergap-types";
import { createChannel, type Channel, type ChannelOptions } from "./channel.js";
import type { PlatformCounters } from "./platformCounters.js";
import type { EraWatch } from "./eraWatch.js";
import { parseJson } from "./parseJson.js";
import { formatObjectPath, listResponseSchema, OBJECTS_PATH } from "./wire.js";

/** The object store port, extended by counters of its calls. */
export interface ObjectStoreClient extends ObjectStore {
    readonly counters: () => PlatformCounters;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;

/** Creates an object store client that uses the connections of `channel`. A table service client may share them. */
export const createObjectStoreOnChannel = (channel: Channel, eras?: EraWatch): ObjectStoreClient => {
    const get: ObjectStore["get"] = (key, signal) => async () => {
        const response = await channel.call("Read", { method: "GET", path: formatObjectPath(key) }, signal);
        if (either.isLeft(response)) {
            return response;
        }
        const { status, body } = response.right;
        switch (status) {
            case STATUS_OK:
                return either.right(body);
            case STATUS_NOT_FOUND:
                return either.right(undefined);
            default:
                return either.left(channel.rejectResponse("Read", `unexpected status ${status} for an object`));
        }
    };

    const put = (key: string, body: Uint8Array, signal: AbortSignal): TaskEither<PlatformError, void> => async () => {
        const response = await channel.call("Write", { method: "PUT", path: formatObjectPath(key), body }, signal);
        if (either.isLeft(response)) {
            return response;
        }
        return response.right.status === STATUS_NO_CONTENT ?
            either.right(undefined) :
            either.left(channel.rejectResponse("Write", `unexpected status ${response.right.status} for an object`));
    };

    const list: ObjectStore["list"] = (prefix, signal) => async () => {
        const path = `${OBJECTS_PATH}?prefix=${encodeURIComponent(prefix)}`;
        const response = await channel.call("Read", { method: "GET", path }, signal);
        if (either.isLeft(response)) {
            return response;
        }
        const parsedList = response.right.status === STATUS_OK ?
            parseJson(listResponseSchema, response.right.body) :
            undefined;
        return parsedList?.parsed.keys.every((key) => key.startsWith(prefix)) === true ?
            either.right(parsedList.parsed.keys) :
            either.left(channel.rejectResponse("Read", "unreadable list of objects"));
    };

    return { get, put, list, counters: channel.counters, ...eras === undefined ? {} : { era: eras.newest } };
};

/** Creates an object store client with its own connections. */
export const createObjectStoreClient = (options: ChannelOptions): ObjectStoreClient =>
    createObjectStoreOnChannel(createChannel(options), options.eras?.watch);
