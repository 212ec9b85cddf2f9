/**
 * A table service in memory for measurements and tests, whose connections can be cut, slowed and made to lose answers.
 * Row versions restart at 1 when a deleted key is written again: the worst case that the port allows.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    isConditionMet,
    DEFAULT_STORE_ERA,
    type Clock,
    type Milliseconds,
    type PlatformError,
    type TableOperation,
    type TableRow,
    type TableScan,
    type TableService,
    type TransactionResult,
} from "oleandergap-types";

/** What happens to one call. */
export type CallFate =
    | { readonly kind: "Answered"; readonly delayMs: Milliseconds }
    /** Refused; surely no effect. */
    | { readonly kind: "Unavailable" }
    /** A write takes effect, and its answer is lost. */
    | { readonly kind: "AnswerLost" }
    /** The answer is given up, and a write takes effect only after the delay. */
    | { readonly kind: "LandsLate"; readonly delayMs: Milliseconds }
    /** The call is given up after a time without an answer; a write takes effect after another one, or never. */
    | { readonly kind: "Hangs"; readonly givenUpMs: Milliseconds; readonly landsMs?: Milliseconds | undefined }
    /** The request is lost, and the caller cannot tell. */
    | { readonly kind: "RequestLost" };

export type ChooseFate = (call: "read" | "write") => CallFate;

export interface MemoryTable {
    /** One process's connection; `clock` is that process's own, so that a frozen process receives no answer. */
    readonly connect: (clock: Clock, chooseFate: ChooseFate) => TableService;
    readonly rows: () => readonly TableRow[];
    readonly get: (key: string) => TableRow | undefined;
    /** Transactions that committed. */
    readonly commits: () => number;
    readonly rowWrites: () => number;
    readonly reads: () => number;
}

const LOST: PlatformError = { kind: "OutcomeUnknown", detail: "the answer was lost" };
const DOWN: PlatformError = { kind: "Unavailable", detail: "the platform is down" };

const compareKeys = (left: TableRow, right: TableRow): number => left.key < right.key ? -1 : 1;

/** `serverClock` is the platform's own time. */
export const createMemoryTable = (serverClock: Clock): MemoryTable => {
    const rows = new Map<string, TableRow>();
    const counts = { commits: 0, rowWrites: 0, reads: 0 };

    const apply = (operation: TableOperation): void => {
        if (operation.kind === "Put") {
            const version = (rows.get(operation.key)?.version.version ?? 0) + 1;
            rows.set(operation.key, {
                key: operation.key,
                version: { era: DEFAULT_STORE_ERA, version },
                value: structuredClone(operation.value),
            });
            counts.rowWrites += 1;
        }
        else if (operation.kind === "Delete") {
            rows.delete(operation.key);
            counts.rowWrites += 1;
        }
    };

    const commit = (operations: readonly TableOperation[]): TransactionResult => {
        const failed = operations.filter(({ key, condition }) => !isConditionMet(condition, rows.get(key)));
        if (failed.length > 0) {
            return { kind: "ConditionFailed", keys: failed.map(({ key }) => key) };
        }
        operations.forEach(apply);
        counts.commits += 1;
        return { kind: "Committed" };
    };

    const scanRows = (scan: TableScan): readonly TableRow[] => {
        const found = [...rows.values()]
            .filter(({ key }) => key.startsWith(scan.prefix) && (scan.after === undefined || key > scan.after))
            .sort(compareKeys);
        return (scan.descending === true ? found.reverse() : found).slice(0, scan.limit);
    };

    const connect = (clock: Clock, chooseFate: ChooseFate): TableService => {
        const deliver = <Value>(value: Value, delay: Milliseconds): Promise<Value> =>
            new Promise((resolve) => {
                clock.after(delay, () => resolve(value));
            });

        const call = <Value>(
            kind: "read" | "write",
            run: () => Value,
        ): Promise<Either<PlatformError, Value>> => {
            const fate = chooseFate(kind);
            switch (fate.kind) {
                case "Answered":
                    return deliver(either.right(run()), fate.delayMs);
                case "Unavailable":
                    return deliver(either.left(DOWN), 0);
                case "AnswerLost":
                    run();
                    break;
                case "LandsLate":
                    serverClock.after(fate.delayMs, run);
                    break;
                case "Hangs":
                    if (fate.landsMs !== undefined) {
                        serverClock.after(fate.landsMs, run);
                    }
                    break;
                case "RequestLost":
                    break;
            }
            const delay = fate.kind === "Hangs" ? fate.givenUpMs : 0;
            return deliver(either.left(kind === "write" ? LOST : DOWN), delay);
        };

        const read = (run: () => readonly TableRow[]): Promise<Either<PlatformError, readonly TableRow[]>> =>
            call("read", () => {
                counts.reads += 1;
                return run();
            });

        return {
            read: (keys) => () => read(() => keys.flatMap((key) => rows.get(key) ?? [])),
            scan: (scan) => () => read(() => scanRows(scan)),
            transact: (operations) => () => call("write", () => commit(operations)),
        };
    };

    return {
        connect,
        rows: () => [...rows.values()],
        get: (key) => rows.get(key),
        commits: () => counts.commits,
        rowWrites: () => counts.rowWrites,
        reads: () => counts.reads,
    };
};
