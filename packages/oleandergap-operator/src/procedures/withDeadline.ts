/** Ends a procedure at its deadline, even if the operation that it waits for ignores the abort signal. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { OperatorError } from "../schemas/operatorError.js";
import { raceAbort } from "oleandergap-utils";

/** Error of a read from the platform that did not finish before the deadline. */
export const platformTimeoutError: OperatorError = { kind: "PlatformUnavailable", detail: "no answer in time" };
/** Error of a request to other nodes that did not finish before the deadline. */
export const fleetTimeoutError: OperatorError = {
    kind: "NodeUnreachable",
    attempts: [{ node: "fleet", detail: "no answer in time" }],
};

/** Returns the result of `task`, or `error` as soon as `signal` aborts. */
export const withDeadline = <Data>(
    signal: AbortSignal,
    task: TaskEither<OperatorError, Data>,
    error: OperatorError,
): Promise<Either<OperatorError, Data>> => raceAbort(task(), signal, () => either.left(error));
