/** Polls the fleet until a version is in force on every node. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { OperatorError } from "oleandergap-operator";
import { MILLISECONDS_PER_SECOND, type Milliseconds, type PartnerName, type Sequence } from "oleandergap-types";
import { formatConvergence, measureConvergence, type Convergence } from "./convergence.js";
import { EXIT_FAILURE, EXIT_UNREACHABLE } from "../report/exitCodes.js";
import { reportSuccess, reportFailure, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandSession } from "../runCommand.js";

const INITIAL_POLL_INTERVAL_MS = 200;
/** Upper bound of the increasing poll interval. The interval increases because each poll queries every node. */
const MAX_POLL_INTERVAL_MS = 2000;
const POLL_INTERVAL_GROWTH_FACTOR = 1.5;

/** Version to wait for, and further content of the report. */
export interface WaitRequest {
    readonly partner: PartnerName;
    readonly sequence: Sequence;
    readonly timeoutSeconds: number;
    /** Further fields of the JSON output. */
    readonly result: object;
    /** Lines that precede the result of the wait in the text output. */
    readonly lines: readonly string[];
}

const measureCurrentConvergence = async (
    { client }: CommandSession,
    { partner, sequence }: WaitRequest,
): Promise<Either<OperatorError, Convergence>> =>
    either.map((view: Parameters<typeof measureConvergence>[0]) =>
        measureConvergence(view, partner, sequence))(await client.listVersions()());

/** Returns whether the error is transient, so that a later poll may succeed. */
const isTransient = ({ kind }: OperatorError): boolean =>
    kind === "NodeUnreachable" || kind === "NotReady" || kind === "OverBudget" || kind === "PlatformUnavailable";

const formatSeconds = (duration: Milliseconds): string => `${(duration / MILLISECONDS_PER_SECOND).toFixed(1)} s`;

const reportTimeout = (request: WaitRequest, lastResult: Either<OperatorError, Convergence>): CommandReport => {
    const message = `Not confirmed to be in force on every node after ${request.timeoutSeconds} s.`;
    if (either.isLeft(lastResult)) {
        const error = { ...request.result, kind: "NotInForce", message, cause: lastResult.left };
        return reportFailure(EXIT_UNREACHABLE, error, request.lines);
    }
    const error = { ...request.result, kind: "NotInForce", message, convergence: lastResult.right };
    return reportFailure(EXIT_FAILURE, error, [...request.lines, ...formatConvergence(lastResult.right)]);
};

/**
 * Polls the fleet until the version is in force on every node. Reports a failure when this is not confirmed before the
 * timeout. The promise never rejects.
 */
export const waitUntilInForce = async (session: CommandSession, request: WaitRequest): Promise<CommandReport> => {
    const { clock, signal } = session.environment;
    const startedAt = clock.monotonic();
    const deadline = startedAt + request.timeoutSeconds * MILLISECONDS_PER_SECOND;
    let pollIntervalMs = INITIAL_POLL_INTERVAL_MS;
    for (;;) {
        const result = await measureCurrentConvergence(session, request);
        if (either.isLeft(result) && !isTransient(result.left)) {
            return reportOperatorError(result.left);
        }
        const elapsedMs = clock.monotonic() - startedAt;
        if (either.isRight(result) && result.right.converged) {
            const elapsedLine = `Confirmed after ${formatSeconds(elapsedMs)}.`;
            const lines = [...request.lines, ...formatConvergence(result.right), elapsedLine];
            return reportSuccess(
                { ...request.result, convergence: result.right, waitedMs: Math.round(elapsedMs) },
                lines,
            );
        }
        if (signal.aborted || clock.monotonic() + pollIntervalMs > deadline) {
            return reportTimeout(request, result);
        }
        await clock.sleep(pollIntervalMs, signal);
        pollIntervalMs = Math.min(pollIntervalMs * POLL_INTERVAL_GROWTH_FACTOR, MAX_POLL_INTERVAL_MS);
    }
};
