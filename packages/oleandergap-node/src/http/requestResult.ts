/** The result of a request, for metrics. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { RequestFailure } from "oleandergap-types";
import type { UpstreamResponse } from "./upstreamResponse.js";

export type RequestResult =
    | { readonly kind: "Answered"; readonly statusCode: number }
    | { readonly kind: "Failed"; readonly failure: RequestFailure };

/** First status code that reports a failure of the target. */
export const FIRST_ERROR_STATUS = 500;

/** Returns whether the target or the system failed to serve the request. */
export const isFailedResult = (end: RequestResult): boolean =>
    end.kind === "Failed" || end.statusCode >= FIRST_ERROR_STATUS;

export const toRequestResult = (outcome: Either<RequestFailure, UpstreamResponse>): RequestResult =>
    either.isRight(outcome) ?
        { kind: "Answered", statusCode: outcome.right.statusCode } :
        { kind: "Failed", failure: outcome.left };
