/** Procedures that read the table of the operator's partner. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { pipe } from "fp-ts/lib/function.js";
import type { CellAddress, Cells, PartnerDocument, ServiceName } from "oleandergap-types";
import type { OperatorContext } from "./context.js";
import { rowInputSchema, tableInputSchema, type TableSource } from "../schemas/inputs.js";
import type { OperatorError } from "../schemas/operatorError.js";
import { convertPlatformReadError } from "./convertPlatformReadError.js";
import { procedure, router } from "./trpc.js";
import type { OperatorRowView, OperatorTableView } from "../schemas/views.js";
import { platformTimeoutError, withDeadline } from "./withDeadline.js";

const readDocument = async (
    { tables, identity, signal }: OperatorContext,
    source: TableSource,
): Promise<Either<OperatorError, PartnerDocument>> => {
    if (source === "accepted") {
        const acceptedDocument = pipe(
            tables.accepted(identity.partner, signal),
            taskEither.mapLeft(convertPlatformReadError),
        );
        return withDeadline(signal, acceptedDocument, platformTimeoutError);
    }
    // A node that has not recovered its configuration has an empty table, which would look as if all rows were lost.
    return tables.isReady() ?
        either.right(tables.inForce(identity.partner)) :
        either.left({ kind: "NotReady", detail: "the node has not recovered its configuration yet" });
};

const toTableView = (document: PartnerDocument, source: TableSource): OperatorTableView => ({
    partner: document.partner,
    source,
    sequence: document.sequence,
    digest: document.digest,
    cells: document.cells,
});

/**
 * Returns the cells of a service's row and of the limit that the row names, or undefined when the row does not exist.
 */
export const selectRow = (cells: Cells, service: ServiceName): Cells | undefined => {
    const rowPrefix = `services/${service}/`;
    const limitName = cells[`${rowPrefix}limit`];
    const limitPrefix = limitName === undefined ? undefined : `limits/${limitName}/`;
    const isSelected = (cell: CellAddress): boolean =>
        cell.startsWith(rowPrefix) || limitPrefix !== undefined && cell.startsWith(limitPrefix);
    const hasRow = Object.keys(cells).some((cell) => cell.startsWith(rowPrefix));
    return hasRow ? Object.fromEntries(Object.entries(cells).filter(([cell]) => isSelected(cell))) : undefined;
};

const toRowView = (service: ServiceName) => (view: OperatorTableView): Either<OperatorError, OperatorRowView> => {
    const cells = selectRow(view.cells, service);
    return cells === undefined ?
        either.left({ kind: "NotFound", detail: `the table has no row ${service}` }) :
        either.right({ ...view, service, cells });
};

/** Router with the procedures `table.get` and `table.row`. */
export const tableRouter = router({
    get: procedure.input(tableInputSchema).query(async ({ ctx, input }) => {
        const document = await readDocument(ctx, input.source);
        return either.map((version: PartnerDocument) => toTableView(version, input.source))(document);
    }),
    row: procedure.input(rowInputSchema).query(async ({ ctx, input }) => {
        const document = await readDocument(ctx, input.source);
        const view = either.map((version: PartnerDocument) => toTableView(version, input.source))(document);
        return either.chain(toRowView(input.service))(view);
    }),
});
