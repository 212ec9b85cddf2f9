/** An object store in memory that counts its calls and can be unavailable. */
import * as taskEither from "fp-ts/lib/TaskEither.js";
import type { ObjectStore } from "oleandergap-types";

export interface RosterStore {
    readonly store: ObjectStore;
    readonly objects: Map<string, Uint8Array>;
    readonly counts: { reads: number; writes: number };
    isDown: boolean;
}

export const createRosterStore = (): RosterStore => {
    const objects = new Map<string, Uint8Array>();
    const counts = { reads: 0, writes: 0 };
    const unavailableError = { kind: "Unavailable", detail: "down" } as const;
    const fake: RosterStore = {
        objects,
        counts,
        isDown: false,
        store: {
            get: (key) => {
                counts.reads += 1;
                return fake.isDown ? taskEither.left(unavailableError) : taskEither.right(objects.get(key));
            },
            put: (key, body) => {
                counts.writes += 1;
                objects.set(key, body);
                return fake.isDown ? taskEither.left(unavailableError) : taskEither.right(undefined);
            },
            list: () => taskEither.right([...objects.keys()]),
        },
    };
    return fake;
};
