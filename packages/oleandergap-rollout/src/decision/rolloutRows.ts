/**
 * Rows of roll-outs in the platform's table. A row holds the committed state of a roll-out: nodes change it
 * only under a condition on the row that they have read, so that two nodes never commit different outcomes.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    formatServiceReference,
    type Clock,
    type Milliseconds,
    type PlatformError,
    type RowCondition,
    type TableRow,
    type TableService,
} from "oleandergap-types";
import { callWithTimeLimit } from "oleandergap-utils";
import { z } from "zod";
import { isFinal, isLaterState, rolloutOrderSchema, rolloutStateSchema, type Rollout } from "../rollout.js";

/** Prefix of the keys; the rest is the service. */
export const ROLLOUT_KEY_PREFIX = "rollouts/";
/** Maximum number of rows read at the start; services have one row each. */
const MAX_ROWS_READ = 500;
/** Time after which a call is aborted. */
const CALL_TIMEOUT_MS: Milliseconds = 1500;

/** Row of a roll-out. Times are wall-clock times, which differ between nodes by at most a second or two. */
export const rolloutRowSchema = z.strictObject({
    order: rolloutOrderSchema,
    orderedAt: z.number(),
    state: rolloutStateSchema,
    since: z.number(),
    reason: z.string(),
});
type RolloutRow = z.infer<typeof rolloutRowSchema>;

/** Result of an attempt to commit a state. */
export type CommitResult =
    /** The row contains this state, or another one that came first. */
    | { readonly kind: "Committed"; readonly rollout: Rollout }
    /** The row changed between the read and the write, or the platform did not answer. It has to be read again. */
    | { readonly kind: "Retry"; readonly reason: string };

/** Dependencies of the access to the rows. */
export interface RolloutRowsDependencies {
    readonly tableService: Pick<TableService, "transact" | "scan" | "read">;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Access to the rows of roll-outs. */
export interface RolloutRows {
    /** Tries once to make `desired` the state in the row. */
    readonly commit: (desired: Rollout) => Promise<CommitResult>;
    /** Reads all rows; invalid ones are left out. */
    readonly load: () => Promise<Either<PlatformError, readonly Rollout[]>>;
}

const describeFailure = (error: PlatformError): CommitResult => ({ kind: "Retry", reason: error.kind });

/** Creates the access. It makes no call before one of its functions is called. */
export const createRolloutRows = ({ tableService, clock, signal }: RolloutRowsDependencies): RolloutRows => {
    /** Returns the offset from the monotonic to the wall clock. */
    const getWallClockOffset = (): Milliseconds => clock.now() - clock.monotonic();

    const callWithTimeout = <Result>(call: (callSignal: AbortSignal) => Promise<Result>): Promise<Result> =>
        callWithTimeLimit(clock, CALL_TIMEOUT_MS, signal, call);

    const parseRow = ({ value }: TableRow): Rollout | undefined => {
        const row = rolloutRowSchema.safeParse(value);
        if (!row.success) {
            return undefined;
        }
        const offset = getWallClockOffset();
        const now = clock.monotonic();
        const { order, orderedAt, state, since, reason } = row.data;
        return {
            order,
            orderedAt: Math.min(now, orderedAt - offset),
            state,
            since: Math.min(now, since - offset),
            reason,
        };
    };

    const formatRow = ({ order, orderedAt, state, since, reason }: Rollout): RolloutRow => {
        const offset = getWallClockOffset();
        return { order, orderedAt: orderedAt + offset, state, since: since + offset, reason };
    };

    /** Returns the stored roll-out if `desired` must not replace it. */
    const findPrecedingState = (stored: Rollout | undefined, desired: Rollout): Rollout | undefined => {
        if (stored === undefined) {
            return undefined;
        }
        const isSameOrder = stored.order.id === desired.order.id;
        const precedes = isSameOrder ?
            isFinal(stored.state) || !isLaterState(stored.state, desired.state) :
            stored.orderedAt > desired.orderedAt;
        return precedes ? stored : undefined;
    };

    const commit: RolloutRows["commit"] = async (desired) => {
        const key = ROLLOUT_KEY_PREFIX + formatServiceReference(desired.order.service);
        const rows = await callWithTimeout((callSignal) => tableService.read([key], callSignal)());
        if (either.isLeft(rows)) {
            return describeFailure(rows.left);
        }
        const row = rows.right.at(0);
        const preceding = findPrecedingState(row && parseRow(row), desired);
        if (preceding !== undefined) {
            return { kind: "Committed", rollout: preceding };
        }
        const condition: RowCondition = row === undefined ?
            { kind: "Absent" } :
            { kind: "VersionIs", version: row.version };
        const result = await callWithTimeout((callSignal) => tableService.transact([
            { kind: "Put", key, condition, value: formatRow(desired) },
        ], callSignal)());
        if (either.isLeft(result)) {
            return describeFailure(result.left);
        }
        return result.right.kind === "Committed" ?
            { kind: "Committed", rollout: desired } :
            { kind: "Retry", reason: "another node changed the row" };
    };

    return {
        commit,
        load: async () => {
            const rows = await callWithTimeout((callSignal) =>
                tableService.scan({ prefix: ROLLOUT_KEY_PREFIX, limit: MAX_ROWS_READ }, callSignal)());
            return either.map((found: readonly TableRow[]) => found.flatMap((row) => parseRow(row) ?? []))(rows);
        },
    };
};
