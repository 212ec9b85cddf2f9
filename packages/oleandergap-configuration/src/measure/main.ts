/**
 * Measures the CPU time and memory of versions on a node: `node --expose-gc
 * packages/oleandergap-configuration/lib/measure/main.js`. It prints one JSON line for each table size. The reference
 * model, which is printed as `naive`, copies all cells, hashes their canonical JSON and parses the entire table for
 * each change.
 */
import { createHash } from "node:crypto";
import * as either from "fp-ts/lib/Either.js";
import { createLogger } from "oleandergap-logger";
import type { Cells, Delta, PartnerDocument } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";
import { createConfigurationStore, type ConfigurationStore } from "../store/configurationStore.js";
import { parseTable } from "../table/parseTable.js";
import { createNextVersion } from "../version/delta.js";
import { createDocument } from "../version/document.js";
import { createSampleCells, createSampleChange } from "./sampleTable.js";

const PARTNER_NAME = "halloway";
const SERVICE_COUNTS = [150, 300, 600, 1200];
const DELTA_COUNT = 200;
const REFERENCE_RUN_COUNT = 50;
const DOCUMENT_COUNT = 20;
const MICROSECONDS_PER_MILLISECOND = 1000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

const roundToThousandths = (value: number): number => Number(value.toFixed(3));

/**
 * Returns the mean CPU time of one run, in milliseconds. CPU time is less sensitive to other load on the
 * machine than elapsed time.
 */
const measureCpuMs = (runs: number, execute: (index: number) => void): number => {
    const start = process.cpuUsage();
    for (let index = 0; index < runs; index++) {
        execute(index);
    }
    const { user, system } = process.cpuUsage(start);
    return roundToThousandths((user + system) / MICROSECONDS_PER_MILLISECOND / runs);
};

const measureHeapMiB = (): number => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / BYTES_PER_MEBIBYTE;
};

const createStore = (): ConfigurationStore =>
    createConfigurationStore({ partners: [PARTNER_NAME], logger: createLogger("measure"), deltaHistory: 256 });

/** Returns a copy as received from a peer: equal content without a cached row index. */
const createReceivedDocument = (document: PartnerDocument): PartnerDocument => {
    const { partner, sequence, digest } = document;
    return { partner, sequence, digest, cells: JSON.parse(JSON.stringify(document.cells)) as Cells };
};

const createDeltas = (base: PartnerDocument, serviceCount: number): readonly Delta[] => {
    const deltas: Delta[] = [];
    let document = base;
    for (let changeNumber = 0; changeNumber < DELTA_COUNT; changeNumber++) {
        const next = createNextVersion(document, [createSampleChange(serviceCount, changeNumber)]);
        document = next.document;
        deltas.push(next.delta);
    }
    return deltas;
};

const applyWithReferenceModel = (cells: Cells, serviceCount: number, changeNumber: number): void => {
    const { cell, after = 0 } = createSampleChange(serviceCount, changeNumber);
    const next = { ...cells, [cell]: after };
    const digest = createHash("sha256").update(formatCanonicalJson(next)).digest("hex");
    const table = parseTable({ partner: PARTNER_NAME, sequence: changeNumber, digest, cells: next });
    if (either.isLeft(table)) {
        throw new Error("the sample table is invalid");
    }
};

const measureSize = (serviceCount: number): void => {
    const cells = createSampleCells(serviceCount);
    const base = createDocument(PARTNER_NAME, 1, cells);
    const deltas = createDeltas(base, serviceCount);
    let received = Array.from({ length: DOCUMENT_COUNT }, () => createReceivedDocument(base));
    const wholeDocumentMs = measureCpuMs(DOCUMENT_COUNT, (index) => {
        createStore().offerDocument(received[index] ?? base);
    });
    received = [];
    const referenceDeltaMs = measureCpuMs(REFERENCE_RUN_COUNT, (index) => {
        applyWithReferenceModel(cells, serviceCount, index);
    });
    const heapBeforeMiB = measureHeapMiB();
    const store = createStore();
    store.offerDocument(createReceivedDocument(base));
    const heapOneDocumentMiB = measureHeapMiB() - heapBeforeMiB;
    const deltaMs = measureCpuMs(DELTA_COUNT, (index) => {
        store.offerDeltas(PARTNER_NAME, deltas.slice(index, index + 1));
    });
    const laggingStore = createStore();
    laggingStore.offerDocument(base);
    const allDeltasMs = measureCpuMs(1, () => {
        laggingStore.offerDeltas(PARTNER_NAME, deltas);
    });
    const isComplete = store.heads()[0]?.sequence === DELTA_COUNT + 1 &&
        laggingStore.heads()[0]?.sequence === DELTA_COUNT + 1;
    process.stdout.write(`${JSON.stringify({
        experiment: "table-cost",
        nodes: 1,
        services: serviceCount,
        cells: Object.keys(cells).length,
        isComplete,
        ours: {
            deltaProcessorMs: deltaMs,
            twoHundredDeltasAtOnceProcessorMs: allDeltasMs,
            wholeDocumentProcessorMs: wholeDocumentMs,
            documentBytes: Buffer.byteLength(JSON.stringify(base)),
            deltaBytes: Buffer.byteLength(JSON.stringify(deltas[0])),
            heapOneDocumentMiB: roundToThousandths(heapOneDocumentMiB),
        },
        naive: { deltaProcessorMs: referenceDeltaMs },
    })}\n`);
};

SERVICE_COUNTS.forEach(measureSize);
