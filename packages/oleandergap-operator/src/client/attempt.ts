/** Results of one request to one node, including requests without a usable response. */
import { TRPCClientError } from "@trpc/client";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { z } from "zod";
import { operatorErrorSchema, type OperatorError } from "../schemas/operatorError.js";

/** Result of one attempt. */
export type AttemptResult<Data> =
    /** The node returned a valid response: data or an error. */
    | { readonly kind: "Answered"; readonly answer: Either<OperatorError, Data> }
    /** The connection could not be established, so the node did not receive the request. */
    | { readonly kind: "NotSent"; readonly detail: string }
    /** The node may have handled the request, but the response was lost or could not be parsed. */
    | { readonly kind: "AnswerLost"; readonly detail: string };

/** Error codes of the operating system and of the HTTP library for a connection that could not be established. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "ENOTFOUND", "UND_ERR_CONNECT_TIMEOUT",
]);
/** Maximum depth of nested causes: the tRPC error wraps the error of fetch, which wraps the error of the socket. */
const MAX_CAUSE_DEPTH = 4;

const findErrorCode = (error: unknown, depth = 0): string | undefined => {
    if (!(error instanceof Error) || depth > MAX_CAUSE_DEPTH) {
        return undefined;
    }
    const causeCode = findErrorCode(error.cause, depth + 1);
    return causeCode ?? ("code" in error && typeof error.code === "string" ? error.code : undefined);
};

const readOperatorError = (error: { readonly data?: unknown }): OperatorError | undefined => {
    const { data } = error;
    if (typeof data !== "object" || data === null || !("operatorError" in data)) {
        return undefined;
    }
    return operatorErrorSchema.safeParse(data.operatorError).data;
};

/** Classifies a failure as an error returned by the node, a lost response or a connection that was not established. */
export const classifyFailure = (error: unknown): AttemptResult<never> => {
    if (error instanceof TRPCClientError) {
        const operatorError = readOperatorError(error);
        if (operatorError !== undefined) {
            return { kind: "Answered", answer: either.left(operatorError) };
        }
    }
    const code = findErrorCode(error);
    if (code !== undefined && CONNECT_ERROR_CODES.has(code)) {
        return { kind: "NotSent", detail: code };
    }
    return { kind: "AnswerLost", detail: code ?? "the response was cut off or did not come from a node" };
};

/** Validates a response against its schema. A response that does not match the schema counts as lost. */
export const parseResponse = <Schema extends z.ZodType>(
    schema: Schema,
    response: unknown,
): AttemptResult<z.output<Schema>> => {
    if (typeof response === "object" && response !== null && "_tag" in response) {
        const parsedError = response._tag === "Left" && "left" in response ?
            operatorErrorSchema.safeParse(response.left) :
            undefined;
        if (parsedError?.success === true) {
            return { kind: "Answered", answer: either.left(parsedError.data) };
        }
        const parsedView = response._tag === "Right" && "right" in response ? schema.safeParse(response.right) : undefined;
        if (parsedView?.success === true) {
            return { kind: "Answered", answer: either.right(parsedView.data) };
        }
    }
    return { kind: "AnswerLost", detail: "the response did not come from a node" };
};
