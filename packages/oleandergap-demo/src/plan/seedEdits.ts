/** Creates the changes that fill a partner's empty table. */
import { MAX_CELLS_PER_CHANGE, type CellAddress, type CellValue, type Limit } from "oleandergap-types";
import type { PartnerPlan, ServicePlan } from "./fleetPlan.js";

/** Cell of the first table. */
export interface SeedCell {
    readonly cell: CellAddress;
    readonly value: CellValue;
}

const listZoneCells = ({ zones }: PartnerPlan): readonly SeedCell[] =>
    zones.map((zone) => ({ cell: `zones/${zone}/enabled`, value: 1 }));

const listLimitCells = ([name, limit]: readonly [string, Limit]): readonly SeedCell[] =>
    Object.entries(limit).map(([column, value]) => ({ cell: `limits/${name}/${column}`, value }));

const listServiceCells = ({ service, limit, idempotency, weights }: ServicePlan): readonly SeedCell[] => [
    { cell: `services/${service}/limit`, value: limit },
    { cell: `services/${service}/idempotency`, value: idempotency },
    ...Object.entries(weights).map(([zone, weight]) => ({
        cell: `services/${service}/weights/${zone}`,
        value: weight,
    })),
];

/**
 * Groups the cells of the first table into changes of at most the permitted size. A row is never split, so that the
 * table is valid after each change.
 */
export const listSeedChanges = (partner: PartnerPlan): readonly (readonly SeedCell[])[] => {
    const cellGroups = [
        [...listZoneCells(partner), ...Object.entries(partner.limits).flatMap(listLimitCells)],
        ...partner.services.map(listServiceCells),
    ];
    const changes: SeedCell[][] = [[]];
    for (const group of cellGroups) {
        const lastChange = changes.at(-1);
        if (lastChange !== undefined && lastChange.length + group.length <= MAX_CELLS_PER_CHANGE) {
            lastChange.push(...group);
        }
        else {
            changes.push([...group]);
        }
    }
    return changes;
};
