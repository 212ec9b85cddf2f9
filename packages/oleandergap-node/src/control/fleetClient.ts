/** tRPC client for calls to other nodes on behalf of operators. Every response is validated. */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { AuthorizeCall, PeerAddress } from "oleandergap-distribution";
import type { Clock, Milliseconds } from "oleandergap-types";
import { startTimeLimit } from "oleandergap-utils";
import type { z } from "zod";
import { FLEET_PATH } from "./fleetHandler.js";
import {
    drainAnswerSchema,
    zoneReportSchema,
    type DrainAnswer,
    type DrainQuery,
    type FleetRouter,
    type ReportQuery,
    type ZoneReport,
} from "./fleetRouter.js";

export interface FleetCallError {
    readonly kind: "NodeUnreachable";
    readonly detail: string;
}

export interface FleetClient {
    readonly report: (
        node: PeerAddress,
        query: ReportQuery,
        signal: AbortSignal,
    ) => TaskEither<FleetCallError, ZoneReport>;
    readonly drain: (
        node: PeerAddress,
        query: DrainQuery,
        signal: AbortSignal,
    ) => TaskEither<FleetCallError, DrainAnswer>;
}

export interface FleetClientOptions {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
    readonly authorize: AuthorizeCall;
}

const formatUrl = ({ address, controlPort }: PeerAddress): string => {
    const host = address.includes(":") ? `[${address}]` : address;
    return `http://${host}:${controlPort}${FLEET_PATH}`;
};

const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);

export const createFleetClient = ({ clock, timeoutMs, authorize }: FleetClientOptions): FleetClient => {
    const createCallClient = (node: PeerAddress): TRPCClient<FleetRouter> => {
        const authorization = authorize(node);
        const headers = authorization === undefined ? {} : { authorization };
        return createTRPCClient<FleetRouter>({ links: [httpLink({ url: formatUrl(node), headers })] });
    };

    const call = <Schema extends z.ZodType>(
        node: PeerAddress,
        schema: Schema,
        sendQuery: (client: TRPCClient<FleetRouter>, signal: AbortSignal) => Promise<unknown>,
        signal: AbortSignal,
    ): TaskEither<FleetCallError, z.output<Schema>> => async () => {
        const limit = startTimeLimit(clock, timeoutMs, signal);
        try {
            const response = schema.safeParse(await sendQuery(createCallClient(node), limit.signal));
            return response.success ?
                either.right(response.data) :
                either.left({ kind: "NodeUnreachable", detail: "the answer is not understood" });
        }
        catch (error) {
            return either.left({ kind: "NodeUnreachable", detail: describeError(error) });
        }
        finally {
            limit.cancel();
        }
    };

    return {
        report: (node, query, signal) => call(
            node,
            zoneReportSchema,
            (client, callSignal) => client.report.query(query, { signal: callSignal }),
            signal,
        ),
        drain: (node, query, signal) => call(
            node,
            drainAnswerSchema,
            (client, callSignal) => client.drain.mutate(query, { signal: callSignal }),
            signal,
        ),
    };
};
