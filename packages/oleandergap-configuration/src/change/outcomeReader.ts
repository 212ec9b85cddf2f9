/** Determines the outcome of a change whose response was lost or whose request was retried. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { deltaSchema, isSameWrite, type Delta, type Head, type TableService } from "oleandergap-types";
import { formatDeltaKey, type ChangeRow } from "../platform/layout.js";
import type { ChangeError } from "./changeError.js";
import { computeFingerprint, type ChangeOutcome, type ChangeRequest } from "./changeRequest.js";
import { readChangeRow, readHeadRow, type ChangeState } from "./changeRows.js";

/** Row version of a head row; undefined if the row does not exist. */
export type HeadVersion = ChangeState["headVersion"];

const isSameHeadVersion = (left: HeadVersion, right: HeadVersion): boolean =>
    left === undefined || right === undefined ? left === right : isSameWrite(left, right);

/** Final result of a change: an outcome or an error. */
export type ChangeResult = Either<ChangeError, ChangeOutcome>;

/** Reads the outcome of a change back from the platform. */
export interface OutcomeReader {
    /** Returns the outcome that is recorded in the change row, or an error if a different request used the same id. */
    readonly readRecordedOutcome: (
        request: ChangeRequest,
        row: ChangeRow,
        signal: AbortSignal,
    ) => Promise<ChangeResult>;
    /**
     * Returns `error`, unless an earlier attempt took effect or its outcome is still unknown. `unresolvedHeadVersions`
     * are the head row versions on which attempts with an unknown outcome are conditional.
     */
    readonly resolveOutcome: (
        request: ChangeRequest,
        unresolvedHeadVersions: readonly HeadVersion[],
        error: ChangeError,
        signal: AbortSignal,
    ) => Promise<ChangeResult>;
}

/** Creates an outcome reader that reads from the platform on each call. */
export const createOutcomeReader = (tableService: TableService): OutcomeReader => {
    const readDelta = async (head: Head, signal: AbortSignal): Promise<Delta | undefined> => {
        const rows = await tableService.read([formatDeltaKey(head.partner, head.sequence)], signal)();
        const parsed = deltaSchema.safeParse(either.isRight(rows) ? rows.right[0]?.value : undefined);
        return parsed.success ? parsed.data : undefined;
    };

    const readRecordedOutcome: OutcomeReader["readRecordedOutcome"] = async (request, row, signal) => {
        const { partner, changeId } = request;
        if (row.fingerprint !== computeFingerprint(request)) {
            return either.left({ kind: "ChangeIdReused", changeId });
        }
        const head: Head = { partner, sequence: row.sequence, digest: row.digest };
        if (row.kind === "Unchanged") {
            return either.right({ kind: "Unchanged", changeId, head, isRepeat: true });
        }
        const delta = await readDelta(head, signal);
        const knownDelta = delta === undefined ? {} : { delta };
        return either.right({ kind: "Accepted", changeId, head, ...knownDelta, isRepeat: true });
    };

    /**
     * An attempt whose response was lost may still be in flight. It can no longer take effect once the head row has a
     * different version from the one on which the attempt is conditional. The head row is read before the change row:
     * in the reverse order, the attempt could take effect between the two reads and be missed, and an accepted change
     * would be reported as refused.
     */
    const resolveOutcome: OutcomeReader["resolveOutcome"] = async (request, unresolvedHeadVersions, error, signal) => {
        const hasUnresolvedAttempt = unresolvedHeadVersions.length > 0;
        if (!hasUnresolvedAttempt && error.kind !== "Conflict") {
            return either.left(error);
        }
        const { changeId } = request;
        const unknownOutcome: ChangeError = { kind: "OutcomeUnknown", changeId, detail: "the platform's answer was lost" };
        const head = await readHeadRow(tableService, request.partner, signal);
        const changeRow = await readChangeRow(tableService, request, signal);
        if (either.isLeft(changeRow)) {
            // The conflict may be caused by the same change, accepted through another node.
            return either.left(hasUnresolvedAttempt ? unknownOutcome : changeRow.left);
        }
        if (changeRow.right !== undefined) {
            return readRecordedOutcome(request, changeRow.right, signal);
        }
        const isSettled = either.isRight(head) &&
            !unresolvedHeadVersions.some((unresolvedVersion) =>
                isSameHeadVersion(unresolvedVersion, head.right.headVersion));
        return either.left(hasUnresolvedAttempt && !isSettled ? unknownOutcome : error);
    };

    return { readRecordedOutcome, resolveOutcome };
};
