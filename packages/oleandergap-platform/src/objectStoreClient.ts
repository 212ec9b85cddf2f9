/** The object store over HTTP. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { ObjectStore, PlatformError } from "oleandergap-types";
import { createChannel, type Channel, type ChannelOptions } from "./channel.js";
import type { PlatformCounters } from "./platformCounters.js";
import type { EraWatch } from "./eraWatch.js";
import { parseJson } from "./parseJson.js";
import { formatObjectPath, listAnswerSchema, OBJECTS_PATH } from "./wire.js";

/** The port, with counters of its calls. */
export interface ObjectStoreClient extends ObjectStore {
    readonly counters: () => PlatformCounters;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;

/** Uses the connections of `channel`, which a table service client may share. */
export const createObjectStoreOn = (channel: Channel, eras?: EraWatch): ObjectStoreClient => {
    const get: ObjectStore["get"] = (key, signal) => async () => {
        const answer = await channel.call("Read", { method: "GET", path: formatObjectPath(key) }, signal);
        if (either.isLeft(answer)) {
            return answer;
        }
        const { status, body } = answer.right;
        switch (status) {
            case STATUS_OK:
                return either.right(body);
            case STATUS_NOT_FOUND:
                return either.right(undefined);
            default:
                return either.left(channel.rejectAnswer("Read", `unexpected status ${status} for an object`));
        }
    };

    const put = (key: string, body: Uint8Array, signal: AbortSignal): TaskEither<PlatformError, void> => async () => {
        const answer = await channel.call("Write", { method: "PUT", path: formatObjectPath(key), body }, signal);
        if (either.isLeft(answer)) {
            return answer;
        }
        return answer.right.status === STATUS_NO_CONTENT ?
            either.right(undefined) :
            either.left(channel.rejectAnswer("Write", `unexpected status ${answer.right.status} for an object`));
    };

    const list: ObjectStore["list"] = (prefix, signal) => async () => {
        const path = `${OBJECTS_PATH}?prefix=${encodeURIComponent(prefix)}`;
        const answer = await channel.call("Read", { method: "GET", path }, signal);
        if (either.isLeft(answer)) {
            return answer;
        }
        const value = answer.right.status === STATUS_OK ? parseJson(listAnswerSchema, answer.right.body) : undefined;
        return value?.parsed.keys.every((key) => key.startsWith(prefix)) === true ?
            either.right(value.parsed.keys) :
            either.left(channel.rejectAnswer("Read", "unreadable list of objects"));
    };

    return { get, put, list, counters: channel.counters, ...eras === undefined ? {} : { era: eras.newest } };
};

/** Opens connections of its own. */
export const createObjectStoreClient = (options: ChannelOptions): ObjectStoreClient =>
    createObjectStoreOn(createChannel(options), options.eras?.watch);
