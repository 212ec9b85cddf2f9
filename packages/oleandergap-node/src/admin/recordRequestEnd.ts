/** Records the end of a request in the tally. */
import type { Milliseconds } from "oleandergap-types";
import { isFailedResult, type RequestResult } from "../http/requestResult.js";
import { formatEndReason, type ServedAt } from "./metrics.js";
import type { RequestTally } from "./requestTally.js";

/** Records how a request ended. `kind` is the name of the route, or empty. */
export const recordRequestEnd = (
    tally: RequestTally,
    at: ServedAt,
    kind: string,
    end: RequestResult,
    durationMs: Milliseconds,
): void => tally.note({ at, kind, end: formatEndReason(end), isFailure: isFailedResult(end), durationMs });
