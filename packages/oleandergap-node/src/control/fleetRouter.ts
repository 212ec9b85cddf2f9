/**
 * tRPC router for calls between nodes on behalf of operators: reporting the members of a zone with their configuration
 * versions, and draining a target. The node that the operator is connected to checks partners and credentials.
 */
import { initTRPC } from "@trpc/server";
import { headSchema, memberSchema, serviceReferenceSchema, type NodeId } from "oleandergap-types";
import { z } from "zod";

export const reportQuerySchema = z.strictObject({ withHeads: z.boolean() });
export type ReportQuery = z.infer<typeof reportQuerySchema>;

/** A member and the heads of its configuration versions. The heads are absent if not requested or not received. */
export const reportedNodeSchema = z.strictObject({ member: memberSchema, heads: z.array(headSchema).optional() });
export type ReportedNode = z.infer<typeof reportedNodeSchema>;

export const zoneReportSchema = z.strictObject({ nodes: z.array(reportedNodeSchema) });
export type ZoneReport = z.infer<typeof zoneReportSchema>;

export const drainQuerySchema = z.strictObject({ service: serviceReferenceSchema });
export type DrainQuery = z.infer<typeof drainQuerySchema>;

export const drainAnswerSchema = z.strictObject({
    nodeId: z.string(),
    /** False if this node has no target of that service. */
    drained: z.boolean(),
});
export type DrainAnswer = z.infer<typeof drainAnswerSchema>;

/** Functions and data of the node that the router uses. */
export interface FleetRouterContext {
    readonly nodeId: NodeId;
    readonly reportZone: (query: ReportQuery, signal: AbortSignal) => Promise<ZoneReport>;
    readonly drainTarget: (query: DrainQuery) => Promise<boolean>;
    readonly signal: AbortSignal;
}

const builder = initTRPC.context<FleetRouterContext>().create({
    // The default error shape of the library contains a stack trace.
    errorFormatter: ({ shape }) => ({
        code: shape.code,
        message: shape.message,
        data: { code: shape.data.code, httpStatus: shape.data.httpStatus },
    }),
});

export const fleetRouter = builder.router({
    report: builder.procedure.input(reportQuerySchema).query(({ ctx, input }): Promise<ZoneReport> =>
        ctx.reportZone(input, ctx.signal)),
    drain: builder.procedure.input(drainQuerySchema).mutation(async ({ ctx, input }): Promise<DrainAnswer> => ({
        nodeId: ctx.nodeId,
        drained: await ctx.drainTarget(input),
    })),
});

/** Type of the router, from which the client's types are derived. */
export type FleetRouter = typeof fleetRouter;
