/**
 * An in-memory table service and object store with fault injection, for tests of the code that uses these ports. The
 * faults are those of the real platform: outages, slow responses, and responses lost after the write took effect.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { ObjectStore, PlatformError, TableService } from "oleandergap-types";
import { createTableState, type TableState } from "./tableState.js";

/** Operation of a call. Only `Transact` and `Put` change data. */
export type PlatformOperation = "Read" | "Scan" | "Transact" | "Get" | "Put" | "List";

/** Description of a call that is passed to the callbacks of {@link MemoryPlatformOptions}. */
export interface PlatformCall {
    readonly operation: PlatformOperation;
    /** Keys in the call, or the prefix of a scan or list. */
    readonly keys: readonly string[];
}

/** Fault to inject into one call. */
export type PlatformFault =
    | { readonly kind: "None" }
    /** The call is rejected before it has any effect. */
    | { readonly kind: "Outage" }
    /** The call takes effect, but its response is lost. A read fails in that case. */
    | { readonly kind: "AnswerLost" }
    /** The response is lost, and the call takes effect only later, when the caller may already have continued. */
    | { readonly kind: "Late" };

/** No fault: the call takes effect, and its response is delivered. */
export const noFault: PlatformFault = { kind: "None" };

/** Callbacks that inject faults and delays. */
export interface MemoryPlatformOptions {
    /** Called once for each call. */
    readonly decideFault?: (call: PlatformCall) => PlatformFault;
    /** Awaited before the call takes effect. */
    readonly waitBefore?: (call: PlatformCall) => Promise<void>;
    /** Awaited between the effect and the response. */
    readonly waitAfter?: (call: PlatformCall) => Promise<void>;
    /** Awaited before the effect of a late call. */
    readonly waitLate?: (call: PlatformCall) => Promise<void>;
}

/** Table service whose rows tests can inspect. */
export interface MemoryTableService extends TableService {
    /** Direct access to the rows, without injected faults. */
    readonly state: TableState;
}

/** Object store whose objects tests can inspect. */
export interface MemoryObjectStore extends ObjectStore {
    /** Direct access to the objects, without injected faults. */
    readonly objects: Map<string, Uint8Array>;
}

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const isWrite = (operation: PlatformOperation): boolean => operation === "Transact" || operation === "Put";

const toLostResponseError = (call: PlatformCall): PlatformError =>
    isWrite(call.operation) ?
        { kind: "OutcomeUnknown", detail: "the answer was lost" } :
        { kind: "Unavailable", detail: "the answer was lost" };

const createCallRunner = ({
    decideFault = () => noFault,
    waitBefore = nextTurn,
    waitAfter = nextTurn,
    waitLate = nextTurn,
}: MemoryPlatformOptions) =>
    <Result>(call: PlatformCall, signal: AbortSignal, run: () => Result): TaskEither<PlatformError, Result> =>
        async (): Promise<Either<PlatformError, Result>> => {
            const fault = decideFault(call);
            await waitBefore(call);
            if (fault.kind === "Outage" || signal.aborted) {
                return either.left({ kind: "Unavailable", detail: "the platform has an outage" });
            }
            if (fault.kind === "Late") {
                void waitLate(call).then(run);
                return either.left(toLostResponseError(call));
            }
            const result = run();
            await waitAfter(call);
            return fault.kind === "AnswerLost" ? either.left(toLostResponseError(call)) : either.right(result);
        };

/** Creates an empty in-memory table service. */
export const createMemoryTableService = (options: MemoryPlatformOptions = {}): MemoryTableService => {
    const state = createTableState();
    const call = createCallRunner(options);
    return {
        state,
        read: (keys, signal) => call({ operation: "Read", keys }, signal, () => state.read(keys)),
        scan: (scan, signal) => call({ operation: "Scan", keys: [scan.prefix] }, signal, () => state.scan(scan)),
        transact: (operations, signal) => {
            const keys = operations.map((operation) => operation.key);
            return call({ operation: "Transact", keys }, signal, () => state.transact(operations));
        },
    };
};

/** Creates an empty in-memory object store. */
export const createMemoryObjectStore = (options: MemoryPlatformOptions = {}): MemoryObjectStore => {
    const objects = new Map<string, Uint8Array>();
    const call = createCallRunner(options);
    const list = (prefix: string): readonly string[] =>
        [...objects.keys()].filter((key) => key.startsWith(prefix)).sort();
    return {
        objects,
        get: (key, signal) => call({ operation: "Get", keys: [key] }, signal, () => objects.get(key)),
        put: (key, body, signal) =>
            call({ operation: "Put", keys: [key] }, signal, () => {
                objects.set(key, Uint8Array.from(body));
            }),
        list: (prefix, signal) => call({ operation: "List", keys: [prefix] }, signal, () => list(prefix)),
    };
};
