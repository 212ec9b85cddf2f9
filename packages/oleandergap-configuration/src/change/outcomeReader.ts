/** Finds out what became of a change whose answer was lost, or that is repeated. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { deltaSchema, isSameWrite, type Delta, type Head, type TableService } from "oleandergap-types";
import { formatDeltaKey, type ChangeRow } from "../platform/layout.js";
import type { ChangeError } from "./changeError.js";
import { computeFingerprint, type ChangeOutcome, type ChangeRequest } from "./changeRequest.js";
import { readChangeRow, readHeadRow, type ChangeState } from "./changeRows.js";

/** The version of a head row; undefined for one that does not exist. */
export type HeadVersion = ChangeState["headVersion"];

const isSameHead = (left: HeadVersion, right: HeadVersion): boolean =>
    left === undefined || right === undefined ? left === right : isSameWrite(left, right);

/** The end of a change, good or bad. */
export type ChangeResult = Either<ChangeError, ChangeOutcome>;

/** Reads back what became of a change. */
export interface OutcomeReader {
    /** The first outcome of a change, from its row. */
    readonly toRepeat: (request: ChangeRequest, row: ChangeRow, signal: AbortSignal) => Promise<ChangeResult>;
    /**
     * Ends a change with `error`, unless an earlier attempt took effect after all. `openHeadVersions` are the versions
     * of the head row on which attempts with an unknown outcome are conditional.
     */
    readonly conclude: (
        request: ChangeRequest,
        openHeadVersions: readonly HeadVersion[],
        error: ChangeError,
        signal: AbortSignal,
    ) => Promise<ChangeResult>;
}

/** Reads from the platform at each call. */
export const createOutcomeReader = (tableService: TableService): OutcomeReader => {
    const readDelta = async (head: Head, signal: AbortSignal): Promise<Delta | undefined> => {
        const rows = await tableService.read([formatDeltaKey(head.partner, head.sequence)], signal)();
        const parsed = deltaSchema.safeParse(either.isRight(rows) ? rows.right[0]?.value : undefined);
        return parsed.success ? parsed.data : undefined;
    };

    const toRepeat: OutcomeReader["toRepeat"] = async (request, row, signal) => {
        const { partner, changeId } = request;
        if (row.fingerprint !== computeFingerprint(request)) {
            return either.left({ kind: "ChangeIdReused", changeId });
        }
        const head: Head = { partner, sequence: row.sequence, digest: row.digest };
        if (row.kind === "Unchanged") {
            return either.right({ kind: "Unchanged", changeId, head, isRepeat: true });
        }
        const delta = await readDelta(head, signal);
        const known = delta === undefined ? {} : { delta };
        return either.right({ kind: "Accepted", changeId, head, ...known, isRepeat: true });
    };

    /**
     * An attempt whose answer was lost may still be on its way, but can no longer take effect once the head row has
     * moved on from the one it depends on. The head is read before the change row: the other way round, the attempt
     * could land between the two reads and be missed, and one would see an accepted change reported as refused.
     */
    const conclude: OutcomeReader["conclude"] = async (request, openHeadVersions, error, signal) => {
        const hasOpenAttempt = openHeadVersions.length > 0;
        if (!hasOpenAttempt && error.kind !== "Conflict") {
            return either.left(error);
        }
        const { changeId } = request;
        const unknown: ChangeError = { kind: "OutcomeUnknown", changeId, detail: "the platform's answer was lost" };
        const head = await readHeadRow(tableService, request.partner, signal);
        const changeRow = await readChangeRow(tableService, request, signal);
        if (either.isLeft(changeRow)) {
            // What looks like a conflict may be the change itself, accepted through another node.
            return either.left(hasOpenAttempt ? unknown : changeRow.left);
        }
        if (changeRow.right !== undefined) {
            return toRepeat(request, changeRow.right, signal);
        }
        const isSettled = either.isRight(head) &&
            !openHeadVersions.some((open) => isSameHead(open, head.right.headVersion));
        return either.left(hasOpenAttempt && !isSettled ? unknown : error);
    };

    return { toRepeat, conclude };
};
