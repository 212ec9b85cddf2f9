/**
 * Reads the fleet's keys from a file and reloads them while the node runs. If a node had to restart for a new key, each
 * key rotation would need three restarts of the whole fleet.
 */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import { parseFleetKeys, type FleetKeys, type ReadFleetKeys } from "oleandergap-membership";
import type { Clock, Milliseconds } from "oleandergap-types";
import { formatSecretFileError, readSecretFile } from "oleandergap-validation";

/** Reads the current keys. The error is a human-readable sentence that contains no content of the file. */
export type LoadFleetKeys = TaskEither<string, FleetKeys>;

/** The initial keys and the function that reloads them. */
export interface FleetKeySource {
    readonly initial: FleetKeys;
    readonly load: LoadFleetKeys;
}

/** Reads the keys in `file`. Fails if users other than the owner can read the file. */
export const loadFleetKeys = (file: string): LoadFleetKeys => async () => {
    const text = await readSecretFile(file)();
    if (either.isLeft(text)) {
        return either.left(formatSecretFileError("key", text.left));
    }
    const keys = parseFleetKeys(text.right);
    return either.isLeft(keys) ?
        either.left(`The key file ${file} is invalid. ${keys.left.problem}`) :
        keys;
};

export interface FleetKeyWatch {
    readonly source: FleetKeySource;
    readonly reloadMs: Milliseconds;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/**
 * Reloads the keys periodically and returns a reader for them. If the file is missing or invalid, the old keys stay in
 * use.
 */
export const watchFleetKeys = ({ source, reloadMs, clock, logger, signal }: FleetKeyWatch): ReadFleetKeys => {
    let keys = source.initial;
    let lastProblem: string | undefined;

    const reload = async (): Promise<void> => {
        const reloaded = await source.load();
        if (either.isRight(reloaded)) {
            keys = reloaded.right;
            lastProblem = undefined;
            return;
        }
        if (reloaded.left !== lastProblem) {
            logger.warn("Reloading the fleet keys failed. The previous keys stay in use.", { problem: reloaded.left });
        }
        lastProblem = reloaded.left;
    };

    const reloadRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(reloadMs, signal);
            await reload();
        }
    };

    reloadRepeatedly().catch((error: unknown) => {
        logger.error("Reloading the fleet keys stopped unexpectedly.", { detail: String(error) });
    });
    return () => keys;
};
