/**
 * Table service in memory for measurements and tests. Calls on its connections can fail, be slow or lose their
 * response, as the caller of `connect` chooses. Row versions restart at 1 when a deleted key is written again, which is
 * the worst case that the `TableService` interface allows.
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

/** What happens to one call to the table. */
export type CallOutcome =
    | { readonly kind: "Answered"; readonly delayMs: Milliseconds }
    /** The call is refused and has no effect. */
    | { readonly kind: "Unavailable" }
    /** A write takes effect, but its response is lost. */
    | { readonly kind: "AnswerLost" }
    /** The call fails immediately, and a write takes effect after the delay. */
    | { readonly kind: "TakesEffectLate"; readonly delayMs: Milliseconds }
    /**
     * The call fails after `failsAfterMs` without a response. A write takes effect after `takesEffectAfterMs`, or never
     * if it is undefined.
     */
    | { readonly kind: "Hangs"; readonly failsAfterMs: Milliseconds; readonly takesEffectAfterMs?: Milliseconds | undefined }
    /** The request is lost without an effect; the caller cannot distinguish this from a lost response. */
    | { readonly kind: "RequestLost" };

export type ChooseCallOutcome = (kind: "read" | "write") => CallOutcome;

export interface MemoryTable {
    /** Creates the connection of one process; `clock` is its clock, so that a frozen process receives no response. */
    readonly connect: (clock: Clock, chooseOutcome: ChooseCallOutcome) => TableService;
    readonly rows: () => readonly TableRow[];
    readonly get: (key: string) => TableRow | undefined;
    /** Returns the number of committed transactions. */
    readonly commits: () => number;
    /** Returns the number of rows written or deleted. */
    readonly rowWrites: () => number;
    /** Returns the number of read and scan calls that took effect. */
    readonly reads: () => number;
}

const RESPONSE_LOST: PlatformError = { kind: "OutcomeUnknown", detail: "the response was lost" };
const PLATFORM_DOWN: PlatformError = { kind: "Unavailable", detail: "the platform is down" };

const compareKeys = (left: TableRow, right: TableRow): number => left.key < right.key ? -1 : 1;

/** `serverClock` is the clock of the simulated platform. */
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

    const connect = (clock: Clock, chooseOutcome: ChooseCallOutcome): TableService => {
        const resolveAfter = <Value>(value: Value, delay: Milliseconds): Promise<Value> =>
            new Promise((resolve) => {
                clock.after(delay, () => resolve(value));
            });

        const call = <Value>(
            kind: "read" | "write",
            run: () => Value,
        ): Promise<Either<PlatformError, Value>> => {
            const outcome = chooseOutcome(kind);
            switch (outcome.kind) {
                case "Answered":
                    return resolveAfter(either.right(run()), outcome.delayMs);
                case "Unavailable":
                    return resolveAfter(either.left(PLATFORM_DOWN), 0);
                case "AnswerLost":
                    run();
                    break;
                case "TakesEffectLate":
                    serverClock.after(outcome.delayMs, run);
                    break;
                case "Hangs":
                    if (outcome.takesEffectAfterMs !== undefined) {
                        serverClock.after(outcome.takesEffectAfterMs, run);
                    }
                    break;
                case "RequestLost":
                    break;
            }
            const delay = outcome.kind === "Hangs" ? outcome.failsAfterMs : 0;
            return resolveAfter(either.left(kind === "write" ? RESPONSE_LOST : PLATFORM_DOWN), delay);
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
