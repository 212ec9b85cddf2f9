/**
 * Test support: nodes that accept changes on a shared in-memory platform with faults, and checks of the stored rows.
 */
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import {
    createMemoryObjectStore,
    createMemoryTableService,
    noFault,
    type MemoryObjectStore,
    type MemoryPlatformOptions,
    type MemoryTableService,
    type PlatformFault,
} from "oleandergap-platform";
import { deltaSchema, type CellValue, type Cells, type Delta, type PartnerDocument, type TableRow } from "oleandergap-types";
import { createSeededRandom, pickIndex, type Random } from "oleandergap-utils";
import type { CellEdit, ChangeOutcome, ChangeRequest } from "../change/changeRequest.js";
import { createChangeService, type ChangeService, type ChangeServiceDependencies } from "../change/changeService.js";
import { changeOptionsSchema, type ChangeOptions } from "../change/options.js";
import {
    auditEntrySchema,
    formatAuditPrefix,
    formatDeltaPrefix,
    formatHeadKey,
    headRowSchema,
    type AuditEntry,
    type HeadRow,
} from "../platform/layout.js";
import { applyDeltas } from "../version/delta.js";
import { createEmptyDocument } from "../version/document.js";
import { createInstantClock, silentLogger } from "./support.js";

export const neverAborted: AbortSignal = new AbortController().signal;

export const generousOptions: ChangeOptions = changeOptionsSchema.parse({
    changesPerSecond: 1e6,
    changesBurst: 1_000_000,
    bytesPerSecond: 1_000_000_000,
    bytesBurst: 1_000_000_000,
    fleetChangesPerSecond: 1e6,
    fleetChangesBurst: 1_000_000,
    maximumWaiting: 10_000,
    snapshotEvery: 4,
});

export interface TestPlatform {
    readonly tableService: MemoryTableService;
    readonly objectStore: MemoryObjectStore;
}

export const createTestPlatform = (options: MemoryPlatformOptions = {}): TestPlatform => ({
    tableService: createMemoryTableService(options),
    objectStore: createMemoryObjectStore(options),
});

/**
 * Returns a platform that reads each key with a separate call, last key first. The interface does not guarantee a
 * consistent read of several keys, so that acceptance must not depend on it.
 */
export const withSingleKeyReads = (platform: TestPlatform): TestPlatform => ({
    ...platform,
    tableService: {
        ...platform.tableService,
        read: (keys, signal) => async () => {
            const rows: TableRow[] = [];
            for (const key of [...keys].reverse()) {
                const result = await platform.tableService.read([key], signal)();
                if (either.isLeft(result)) {
                    return result;
                }
                rows.push(...result.right);
            }
            return either.right(rows);
        },
    },
});

export const createNode = (platform: TestPlatform, options: Partial<ChangeServiceDependencies> = {}): ChangeService =>
    createChangeService({
        ...platform,
        clock: createInstantClock(),
        random: createSeededRandom(1),
        logger: silentLogger,
        options: generousOptions,
        ...options,
    });

export const waitEventLoopTurns = async (turns: number): Promise<void> => {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
    }
};

export interface FaultSwitch {
    isOn: boolean;
}

/** While `faults.isOn`, calls fail at random with each kind of fault and take a random number of event loop turns. */
export const createRandomFaults = (random: Random, faults: FaultSwitch): MemoryPlatformOptions => {
    const wait = (): Promise<void> => waitEventLoopTurns(faults.isOn ? 1 + pickIndex(random, 4) : 1);
    return {
        decideFault: () => {
            const kinds = ["Outage", "AnswerLost", "Late"] as const;
            const kind = kinds[pickIndex(random, 12)];
            return faults.isOn && kind !== undefined ? { kind } satisfies PlatformFault : noFault;
        },
        waitBefore: wait,
        waitAfter: wait,
        waitLate: () => waitEventLoopTurns(pickIndex(random, 30)),
    };
};

export const createRequest = (partner: string, changeId: string, edits: readonly CellEdit[]): ChangeRequest =>
    ({ partner, operator: `${partner}-operator`, changeId, edits: [...edits] });

export const createEdits = (cells: Cells): readonly CellEdit[] =>
    Object.entries(cells).map(([cell, value]): CellEdit => ({ cell, value }));

/** Rows of one partner on the platform, checked for consistency. */
export interface StoredChain {
    readonly head: HeadRow | undefined;
    readonly deltas: readonly Delta[];
    readonly audit: readonly AuditEntry[];
    readonly document: PartnerDocument;
}

const MAX_SCANNED_ROWS = 1000;

/**
 * Reads the rows directly, without injected faults, and checks that deltas are contiguous, that each `before` equals
 * the previous value of the cell, that the head row refers to the last delta, and that there is one audit entry for
 * each version.
 */
export const readChain = ({ tableService }: TestPlatform, partner: string): StoredChain => {
    const scan = (prefix: string): readonly unknown[] =>
        tableService.state.scan({ prefix, limit: MAX_SCANNED_ROWS }).map((row) => row.value);
    const deltas = scan(formatDeltaPrefix(partner)).map((value) => deltaSchema.parse(value));
    const audit = scan(formatAuditPrefix(partner)).map((value) => auditEntrySchema.parse(value));
    const row = tableService.state.read([formatHeadKey(partner)])[0];
    const head = row === undefined ? undefined : headRowSchema.parse(row.value);
    const document = applyDeltas(createEmptyDocument(partner), deltas);
    if (either.isLeft(document)) {
        throw new Error(`the chain is broken: ${document.left.kind}`);
    }
    const cells = new Map<string, CellValue | undefined>();
    for (const { cell, before, after } of deltas.flatMap((delta) => delta.changes)) {
        expect(cells.get(cell), `previous value of ${cell}`).to.equal(before);
        cells.set(cell, after);
    }
    expect(audit.map((entry) => entry.sequence)).to.deep.equal(deltas.map((delta) => delta.sequence));
    expect(audit.map((entry) => entry.changes)).to.deep.equal(deltas.map((delta) => delta.changes));
    expect(head?.sequence ?? 0).to.equal(document.right.sequence);
    expect(head?.digest ?? document.right.digest).to.equal(document.right.digest);
    return { head, deltas, audit, document: document.right };
};

export const getAccepted = (result: either.Either<unknown, ChangeOutcome>): ChangeOutcome => {
    if (either.isLeft(result)) {
        throw new Error(`the change was not accepted: ${JSON.stringify(result.left)}`);
    }
    return result.right;
};
