/** Sample tables of a given size, for measurements. */
import type { CellChange, Cells, CellValue } from "oleandergap-types";

const ZONE_COUNT = 10;
const WEIGHTS_PER_SERVICE = 8;
const SERVICES_PER_LIMIT = 10;
const BASE_CONCURRENCY = 100;

const formatZoneName = (zone: number): string => `zone-${zone}`;

const addLimitCells = (cells: Record<string, CellValue>, name: string): void => {
    cells[`limits/${name}/concurrency`] = BASE_CONCURRENCY;
    cells[`limits/${name}/queue`] = 50;
    cells[`limits/${name}/timeoutMs`] = 2000;
    cells[`limits/${name}/retryRatio`] = 0.1;
};

/** Creates a table with about ten cells for each service. */
export const createSampleCells = (serviceCount: number): Cells => {
    const cells: Record<string, CellValue> = {};
    for (let zone = 0; zone < ZONE_COUNT; zone++) {
        cells[`zones/${formatZoneName(zone)}/enabled`] = 1;
    }
    const limitCount = Math.ceil(serviceCount / SERVICES_PER_LIMIT);
    for (let limit = 0; limit < limitCount; limit++) {
        addLimitCells(cells, `limit-${limit}`);
    }
    for (let service = 0; service < serviceCount; service++) {
        const row = `services/service-number-${service}`;
        cells[`${row}/limit`] = `limit-${service % limitCount}`;
        cells[`${row}/idempotency`] = "required";
        for (let zone = 0; zone < WEIGHTS_PER_SERVICE; zone++) {
            cells[`${row}/weights/${formatZoneName(zone)}`] = 1;
        }
    }
    return cells;
};

/** Creates a change that sets one weight to a new value. */
export const createSampleChange = (serviceCount: number, changeNumber: number): CellChange => ({
    cell: `services/service-number-${changeNumber % serviceCount}/weights/${formatZoneName(1)}`,
    before: 1,
    after: 2 + Math.floor(changeNumber / serviceCount),
});
