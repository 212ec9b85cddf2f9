/** Fleet keys for tests. */
import * as either from "fp-ts/lib/Either.js";
import { parseFleetKeys, type FleetKeys } from "../index.js";

export const OLD_KEY = "old-key-of-the-fleet-0123456789abcdef";
export const NEW_KEY = "new-key-of-the-fleet-0123456789abcdef";

export const parseKeys = (...lines: readonly string[]): FleetKeys => {
    const keys = parseFleetKeys(lines.join("\n"));
    if (either.isLeft(keys)) {
        throw new Error(keys.left.problem);
    }
    return keys.right;
};
