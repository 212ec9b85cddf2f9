/**
 * Keeps the departures of a node's targets outside of its process.
 *
 * A node that has acknowledged a departure must not send requests to that target any more, also after a restart. An
 * announcement that the target sent before its departure may arrive after the restart, and would otherwise make the
 * target available again.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { callWithTimeLimit, describeError, raceAbort, type Random } from "oleandergap-utils";
import { formatSubject, selectLatest, type Departure, type DepartureStorage, type NewDeparture } from "./departure.js";

/** Time limit of a call to a storage. A target that gets no acknowledgement within a second announces itself again. */
const CALL_TIMEOUT_MS: Milliseconds = 600;
/** Mean interval between two attempts to reach a storage. Half of it is random. */
const RETRY_MS: Milliseconds = 1000;
/** Maximum number of attempts to write a departure to the table. Other nodes hold it for longer. */
const MAX_WRITES = 300;
/** Time after which targets are accepted even if no storage has responded. */
const MAX_RESTORE_MS: Milliseconds = 3000;
/** Maximum delay of the first read of the table, within `MAX_RESTORE_MS`. */
const MAX_READ_DELAY_MS: Milliseconds = 1500;
/** Maximum number of departures whose storage is remembered. The oldest one is dropped first. */
const MAX_RECORDS = 64;

/** Receives departures from before the start of this process; may be called several times, also later. */
export type OnFound = (departures: readonly Departure[]) => void;

/** The departures of the targets beside a node. */
export interface DepartureLog {
    /** Stores a departure, once for each lifetime. Resolves with whether it outlasts this process. */
    readonly record: (departure: NewDeparture) => Promise<boolean>;
    /**
     * Reads the departures from before the start of this process. Resolves when a storage has responded, or after a
     * time limit.
     */
    readonly restore: (onFound: OnFound) => Promise<void>;
}

export interface DepartureLogDependencies {
    /** Outlasts all nodes, but may not respond. */
    readonly table: DepartureStorage;
    /** Responds also without the platform. */
    readonly replicas: DepartureStorage;
    /**
     * Returns the delay of the first read of the table. It is random, so that the reads of a fleet that starts together
     * stay within the platform's limit.
     */
    readonly readDelay: () => Milliseconds;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

interface DepartureRecord {
    readonly departure: Departure;
    /** Resolves with whether the departure outlasts this process. */
    readonly stored: Promise<boolean>;
}

/** Returns the departure to record; undefined for a lifetime without an instance id, which cannot be recognized. */
const createDeparture = (created: NewDeparture, recordedAt: Milliseconds): Departure | undefined => {
    if (created.kind !== "Left") {
        return { ...created, recordedAt };
    }
    const { instanceId, bornAt } = created.lifetime;
    return instanceId === undefined ? undefined : { kind: "Left", instanceId, bornAt, recordedAt };
};

/** Calls a storage within the time limit. Resolves with undefined if it did not respond or failed. */
const callStorage = async <Result>(
    { clock, logger, signal }: Pick<DepartureLogDependencies, "clock" | "logger" | "signal">,
    name: string,
    call: (callSignal: AbortSignal) => Promise<Result>,
): Promise<Result | undefined> => {
    try {
        return await callWithTimeLimit(clock, CALL_TIMEOUT_MS, signal, (callSignal) =>
            raceAbort<Result | undefined>(call(callSignal), callSignal, () => undefined));
    }
    catch (error) {
        logger.warn("Storing departures failed.", { at: name, detail: describeError(error) });
        return undefined;
    }
};

/** Creates the log of departures. */
export const createDepartureLog = (
    { table, replicas, readDelay, clock, random, logger, signal }: DepartureLogDependencies,
): DepartureLog => {
    const limits = { clock, logger, signal };
    const records = new Map<string, DepartureRecord>();

    const waitForRetry = (): Promise<void> => clock.sleep(RETRY_MS * (0.75 + random() / 2), signal);

    const isLatest = (departure: Departure): boolean =>
        records.get(formatSubject(departure))?.departure === departure;

    const write = async (storage: DepartureStorage, departure: Departure): Promise<boolean> =>
        await callStorage(limits, storage.name, (callSignal) => storage.write(departure, callSignal)) ?? false;

    /** Repeats the write to the table, so that the departure outlasts a restart of all nodes. */
    const repeatWrite = async (departure: Departure): Promise<void> => {
        for (let writes = 1; writes < MAX_WRITES && !signal.aborted && isLatest(departure); writes++) {
            await waitForRetry();
            if (isLatest(departure) && await write(table, departure)) {
                logger.info("The table has a departure now.", { subject: formatSubject(departure), writes: writes + 1 });
                return;
            }
        }
    };

    const store = async (departure: Departure): Promise<boolean> => {
        const startedAt = clock.monotonic();
        const [isInTable, isAtNodes] = await Promise.all([write(table, departure), write(replicas, departure)]);
        const context = {
            subject: formatSubject(departure),
            isInTable,
            isAtNodes,
            durationMs: Math.round(clock.monotonic() - startedAt),
        };
        if (isInTable || isAtNodes) {
            logger.info("A departure is stored.", context);
        }
        else {
            logger.warn("A departure is not stored, and is not acknowledged.", context);
        }
        if (!isInTable && isAtNodes) {
            void repeatWrite(departure);
        }
        return isInTable || isAtNodes;
    };

    const remember = (departure: Departure, stored: Promise<boolean>): void => {
        records.delete(formatSubject(departure));
        records.set(formatSubject(departure), { departure, stored });
        const [oldest] = records.keys();
        if (records.size > MAX_RECORDS && oldest !== undefined) {
            records.delete(oldest);
        }
    };

    const record: DepartureLog["record"] = (created) => {
        const departure = createDeparture(created, Math.floor(clock.now()));
        if (departure === undefined) {
            return Promise.resolve(true);
        }
        const known = records.get(formatSubject(departure));
        if (known !== undefined && departure.kind === "Left") {
            return known.stored;
        }
        const stored = store(departure).then((isStored) => {
            if (!isStored && isLatest(departure)) {
                records.delete(formatSubject(departure));
            }
            return isStored;
        });
        remember(departure, stored);
        return stored;
    };

    /** Writes what only other nodes hold, because an earlier process ended before the table responded. */
    const writeMissing = (departuresInTable: readonly Departure[]): void => {
        for (const { departure, stored } of [...records.values()]) {
            const isInTable = departuresInTable.some((other) =>
                formatSubject(other) === formatSubject(departure) && other.recordedAt >= departure.recordedAt);
            if (!isInTable) {
                void stored.then((isStored) => isStored ? repeatWrite(departure) : undefined);
            }
        }
    };

    /** Returns whether the storage has responded. */
    const read = async (storage: DepartureStorage, onFound: OnFound): Promise<boolean> => {
        const departures = await callStorage(limits, storage.name, storage.read);
        if (departures === undefined) {
            return false;
        }
        if (storage === table) {
            writeMissing(departures);
        }
        const known = [...records.values()].map(({ departure }) => departure);
        const found = selectLatest([...known, ...departures]).filter((departure) => !isLatest(departure));
        if (found.length === 0) {
            return true;
        }
        found.forEach((departure) => remember(departure, Promise.resolve(true)));
        logger.info("Departures from before the start were found.", {
            at: storage.name, subjects: found.map(formatSubject).join(", "),
        });
        onFound(found);
        return true;
    };

    const repeatRead = async (onFound: OnFound): Promise<void> => {
        do {
            await waitForRetry();
        } while (!signal.aborted && !await read(table, onFound));
    };

    const restore: DepartureLog["restore"] = async (onFound) => {
        const startedAt = clock.monotonic();
        const firstReplicasRead = read(replicas, onFound);
        await clock.sleep(Math.min(MAX_READ_DELAY_MS, readDelay()), signal);
        let areReplicasRead = false;
        while (!signal.aborted) {
            areReplicasRead ||= await firstReplicasRead || await read(replicas, onFound);
            if (await read(table, onFound)) {
                return;
            }
            if (areReplicasRead || clock.monotonic() - startedAt >= MAX_RESTORE_MS) {
                void repeatRead(onFound);
                return;
            }
            await waitForRetry();
        }
    };

    return { record, restore };
};
