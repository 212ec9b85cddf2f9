/** The tRPC instance of the operators' interface, and the format of errors that tRPC itself raises. */
import { initTRPC, type TRPCError } from "@trpc/server";
import { ZodError } from "zod";
import type { OperatorContext } from "./context.js";
import type { InputIssue, OperatorError } from "../schemas/operatorError.js";

const listIssues = (error: ZodError): readonly InputIssue[] =>
    error.issues.map((issue) => ({ path: issue.path.map(String).join("."), problem: issue.message }));

/**
 * Converts an error that tRPC raised before or outside a procedure. Messages of unexpected errors are written to the
 * log only and are not sent to the client.
 */
const convertTrpcError = (error: TRPCError): OperatorError => {
    if (error.cause instanceof ZodError) {
        return { kind: "BadRequest", issues: [...listIssues(error.cause)] };
    }
    switch (error.code) {
        case "INTERNAL_SERVER_ERROR":
            return { kind: "Internal", detail: "the node failed to handle the request; see its log" };
        case "NOT_FOUND":
            return { kind: "NotFound", detail: "the node has no such procedure" };
        default:
            return { kind: "BadRequest", issues: [{ path: "", problem: error.code }] };
    }
};

const trpc = initTRPC.context<OperatorContext>().create({
    isDev: false,
    errorFormatter: ({ shape, error }) => ({
        code: shape.code,
        message: shape.data.code,
        data: { code: shape.data.code, httpStatus: shape.data.httpStatus, operatorError: convertTrpcError(error) },
    }),
});

/** Creates a router, which groups procedures by name. */
export const router = trpc.router;
/** Builder of procedures. Their context always has an authenticated operator. */
export const procedure = trpc.procedure;
