/** Test support: a small table, changes of it, and a reference model of its validation. */
import fastCheck from "fast-check";
import type { Logger } from "oleandergap-logger";
import type { CellChange, Cells, CellValue, Clock, Delta, PartnerDocument, PartnerTable } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";
import { createDocument } from "../version/document.js";

export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

export const createLimitCells = (name: string, concurrency = 10): Cells => ({
    [`limits/${name}/concurrency`]: concurrency,
    [`limits/${name}/queue`]: 5,
    [`limits/${name}/timeoutMs`]: 1000,
    [`limits/${name}/retryRatio`]: 0.1,
});

export const initialCells: Cells = {
    "zones/east/enabled": 1,
    "zones/west/enabled": 1,
    ...createLimitCells("small"),
    ...createLimitCells("large", 100),
    "services/desk/limit": "small",
    "services/desk/weights/east": 1,
    "services/vault/limit": "large",
    "services/vault/weights/west": 7,
};

/** Returns a copy of plain cells with the changes applied. */
export const applyChanges = (cells: Cells, changes: readonly CellChange[]): Cells => {
    const copy = { ...cells };
    for (const { cell, after } of changes) {
        if (after === undefined) {
            Reflect.deleteProperty(copy, cell);
        }
        else {
            Object.assign(copy, { [cell]: after });
        }
    }
    return copy;
};

/** Creates changes that set the given cells. */
export const toChanges = (cells: Cells): readonly CellChange[] =>
    Object.entries(cells).map(([cell, after]) => ({ cell, after }));

/**
 * Generates changes that often make the table invalid, for example by removing a limit or zone that other rows refer
 * to.
 */
export const changeArbitrary: fastCheck.Arbitrary<CellChange> = fastCheck
    .tuple(
        fastCheck.constantFrom(
            ...Object.keys(initialCells),
            "services/desk/weights/west",
            "services/desk/idempotency",
            "services/extra/limit",
            "services/extra/weights/east",
            "zones/north/enabled",
            "other/row/column",
        ),
        fastCheck.constantFrom<CellValue | undefined>(undefined, 1, 2, 9, 0.5, -1, "small", "large", "none", "required"),
    )
    .map(([cell, after]) => after === undefined ? { cell } : { cell, after });

export const changesArbitrary = fastCheck.uniqueArray(changeArbitrary, {
    selector: (change) => change.cell,
    minLength: 1,
    maxLength: 3,
});

export interface VersionChain {
    /** Documents by sequence; the first one is the empty document. */
    readonly documents: readonly PartnerDocument[];
    /** Deltas between the documents; `deltas[n]` leads from sequence n to n + 1. */
    readonly deltas: readonly Delta[];
}

/**
 * Builds a chain of versions that starts with {@link initialCells} and may contain invalid versions. Each document is
 * built from plain cells, independently of the code that derives a version from another.
 */
export const buildChain = (partner: string, changeLists: readonly (readonly CellChange[])[]): VersionChain => {
    const documents = [createDocument(partner, 0, {})];
    const deltas: Delta[] = [];
    let cells: Cells = {};
    for (const changes of [toChanges(initialCells), ...changeLists]) {
        const sequence = documents.length;
        const baseDigest = documents.at(-1)?.digest ?? "";
        cells = applyChanges(cells, changes);
        const document = createDocument(partner, sequence, cells);
        documents.push(document);
        deltas.push({ partner, sequence, baseDigest, digest: document.digest, changes: [...changes] });
    }
    return { documents, deltas };
};

const isIntegerInRange = (value: CellValue | undefined, minimum: number, maximum: number): boolean =>
    typeof value === "number" && Number.isInteger(value) && value >= minimum && value <= maximum;

/** Validates each cell independently, as a reference for the parser. */
export const isValidInReferenceModel = (cells: Cells): boolean =>
    Object.entries(cells).every(([cell, value]) => {
        const [sheet, name = "", column = "", zone = ""] = cell.split("/");
        switch (sheet) {
            case "zones":
                return column === "enabled" && value === 1;
            case "limits":
                return ["concurrency", "queue", "timeoutMs", "retryRatio"]
                    .every((requiredColumn) => cells[`limits/${name}/${requiredColumn}`] !== undefined) &&
                    (column === "retryRatio" ?
                        typeof value === "number" && value >= 0 && value <= 1 :
                        isIntegerInRange(value, column === "queue" ? 0 : 1, 10_000));
            case "services":
                if (cells[`services/${name}/limit`] === undefined) {
                    return false;
                }
                if (column === "limit") {
                    return Object.keys(cells).some((other) => other.startsWith(`limits/${String(value)}/`));
                }
                return column === "weights" ?
                    isIntegerInRange(value, 0, 1000) && cells[`zones/${zone}/enabled`] !== undefined :
                    column === "idempotency" && (value === "required" || value === "optional");
            default:
                return false;
        }
    });

/** Formats a table as JSON text that does not depend on the order of its rows. */
export const formatTable = (table: PartnerTable | undefined): string =>
    formatCanonicalJson(table === undefined ? null : {
        head: table.head,
        zones: [...table.zones].sort(),
        services: Object.fromEntries([...table.services].map(([name, row]) => [
            name,
            { ...row, weights: Object.fromEntries(row.weights) },
        ])),
    });

/**
 * Creates a clock whose `sleep` resolves at the next turn of the event loop and advances the time by one millisecond.
 */
export const createInstantClock = (): Clock => {
    let time = 1_000_000;
    return {
        now: () => time,
        monotonic: () => time,
        after: () => () => undefined,
        sleep: async () => {
            time += 1;
            await new Promise((resolve) => setImmediate(resolve));
        },
    };
};
