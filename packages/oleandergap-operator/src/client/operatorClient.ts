/** Client that calls the operators' procedures at the first available node of a list. */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { z } from "zod";
import { isWellFormedCredential } from "../credentials/credential.js";
import { OPERATOR_PATH_PREFIX } from "../handler.js";
import type {
    AbortRolloutInput, ChangeInput, DrainInput, PageInput, RowInput, StartRolloutInput, TableInput, ValidateInput,
} from "../schemas/inputs.js";
import type { OperatorError } from "../schemas/operatorError.js";
import type { OperatorRouter } from "../procedures/router.js";
import { startTimeLimit } from "oleandergap-utils";
import {
    auditViewSchema, changeOutcomeSchema, drainViewSchema, historyViewSchema, membersViewSchema, rolloutsViewSchema,
    rowViewSchema, tableViewSchema, targetsViewSchema, validationViewSchema, versionsViewSchema, type AuditView,
    type ChangeOutcomeView, type DrainView, type HistoryView, type MembersView, type OperatorRowView,
    type OperatorTableView, type RolloutsView, type TargetsView, type ValidationView, type VersionsView,
} from "../schemas/views.js";
import { classifyFailure, parseResponse, type AttemptResult } from "./attempt.js";
import { queryNodes } from "./queryNodes.js";
import { formatNodeAddress, type NodeAddress } from "./nodeAddress.js";
import type { NodesResult } from "./classifyAttempts.js";
import { sendToNodes } from "./sendToNodes.js";

/** Options of {@link createOperatorClient}. */
export interface OperatorClientOptions {
    /** Nodes in the order in which they receive requests. The next call starts with the node that responded last. */
    readonly nodes: readonly NodeAddress[];
    readonly credential: string;
    /** Maximum time to wait for the response of one node. */
    readonly timeoutMs: Milliseconds;
    readonly clock: Clock;
    /** Aborts all calls, for example when the operator interrupts the command. */
    readonly signal: AbortSignal;
}

type ProcedureCall<Data> = TaskEither<OperatorError, Data>;

/** Client with one function for each procedure. The returned tasks never reject. */
export interface OperatorClient {
    readonly getTable: (input: TableInput) => ProcedureCall<OperatorTableView>;
    readonly getRow: (input: RowInput) => ProcedureCall<OperatorRowView>;
    /**
     * Sends the change to the next node under the same change id when a response is lost, so that the change is
     * accepted at most once.
     */
    readonly acceptChange: (input: ChangeInput) => ProcedureCall<ChangeOutcomeView>;
    readonly validateChange: (input: ValidateInput) => ProcedureCall<ValidationView>;
    readonly listHistory: (input: PageInput) => ProcedureCall<HistoryView>;
    readonly listAudit: (input: PageInput) => ProcedureCall<AuditView>;
    readonly listVersions: () => ProcedureCall<VersionsView>;
    readonly listMembers: () => ProcedureCall<MembersView>;
    readonly listTargets: () => ProcedureCall<TargetsView>;
    readonly drainTarget: (input: DrainInput) => ProcedureCall<DrainView>;
    readonly startRollout: (input: StartRolloutInput) => ProcedureCall<RolloutsView>;
    readonly listRollouts: () => ProcedureCall<RolloutsView>;
    readonly abortRollout: (input: AbortRolloutInput) => ProcedureCall<RolloutsView>;
}

type RouterClient = TRPCClient<OperatorRouter>;

/** Rejects redirects, which would send the credential to an address that the operator did not specify. */
const fetchWithoutRedirect = (url: string, init: RequestInit): Promise<Response> =>
    fetch(url, { ...init, redirect: "error" });

const createNodeClient = (node: NodeAddress, credential: string): RouterClient =>
    createTRPCClient<OperatorRouter>({
        links: [
            httpLink({
                url: `http://${formatNodeAddress(node)}${OPERATOR_PATH_PREFIX}`,
                headers: { authorization: `Bearer ${credential}` },
                fetch: (input, init) => fetchWithoutRedirect(String(input), init as RequestInit),
            }),
        ],
    });

/** Request that calls one procedure, with the schema of its response. */
interface ProcedureRequest<Schema extends z.ZodType> {
    readonly schema: Schema;
    readonly send: (client: RouterClient, signal: AbortSignal) => Promise<unknown>;
    /** Id of the change that is sent. A request without a change can be sent to several nodes at the same time. */
    readonly changeId?: string;
}

/** Time without a response from a node after which a request is also sent to the next node. */
const HEDGE_DELAY_MS = 2000;

/** Creates a client. An idle client keeps no connection open. */
export const createOperatorClient = ({
    nodes, credential, timeoutMs, clock, signal,
}: OperatorClientOptions): OperatorClient => {
    let orderedNodes = [...nodes];

    const attemptRequest = async <Schema extends z.ZodType>(
        { schema, send }: ProcedureRequest<Schema>,
        node: NodeAddress,
        abortSignal: AbortSignal,
    ): Promise<AttemptResult<z.output<Schema>>> => {
        const timeLimit = startTimeLimit(clock, timeoutMs, abortSignal);
        try {
            return parseResponse(schema, await send(createNodeClient(node, credential), timeLimit.signal));
        }
        catch (error) {
            return timeLimit.hasExpired() ? { kind: "AnswerLost", detail: "no answer in time" } : classifyFailure(error);
        }
        finally {
            timeLimit.cancel();
        }
    };

    const sendRequest = <Schema extends z.ZodType>(
        request: ProcedureRequest<Schema>,
    ): Promise<NodesResult<z.output<Schema>>> => {
        const { changeId } = request;
        const attemptAtNode = (node: NodeAddress, abortSignal: AbortSignal): Promise<AttemptResult<z.output<Schema>>> =>
            attemptRequest(request, node, abortSignal);
        return changeId === undefined ?
            queryNodes({ nodes: orderedNodes, attempt: attemptAtNode, hedgeDelayMs: HEDGE_DELAY_MS, clock, signal }) :
            sendToNodes({ nodes: orderedNodes, attempt: (node) => attemptAtNode(node, signal), changeId, signal });
    };

    const callProcedure = <Schema extends z.ZodType>(
        request: ProcedureRequest<Schema>,
    ): ProcedureCall<z.output<Schema>> => async () => {
        // The HTTP library would include a text that is not a valid header value in its error message.
        if (!isWellFormedCredential(credential)) {
            return either.left({ kind: "Unauthenticated" });
        }
        const { answer, node } = await sendRequest(request);
        if (node !== undefined) {
            orderedNodes = [node, ...orderedNodes.filter((other) => other !== node)];
        }
        return answer;
    };

    return {
        getTable: (input) => callProcedure({
            schema: tableViewSchema,
            send: (client, abortSignal) => client.table.get.query(input, { signal: abortSignal }),
        }),
        getRow: (input) => callProcedure({
            schema: rowViewSchema,
            send: (client, abortSignal) => client.table.row.query(input, { signal: abortSignal }),
        }),
        acceptChange: (input) => callProcedure({
            schema: changeOutcomeSchema,
            send: (client, abortSignal) => client.change.accept.mutate(input, { signal: abortSignal }),
            changeId: input.changeId,
        }),
        validateChange: (input) => callProcedure({
            schema: validationViewSchema,
            send: (client, abortSignal) => client.change.validate.mutate(input, { signal: abortSignal }),
        }),
        listHistory: (input) => callProcedure({
            schema: historyViewSchema,
            send: (client, abortSignal) => client.history.list.query(input, { signal: abortSignal }),
        }),
        listAudit: (input) => callProcedure({
            schema: auditViewSchema,
            send: (client, abortSignal) => client.audit.list.query(input, { signal: abortSignal }),
        }),
        listVersions: () => callProcedure({
            schema: versionsViewSchema,
            send: (client, abortSignal) => client.fleet.versions.query({}, { signal: abortSignal }),
        }),
        listMembers: () => callProcedure({
            schema: membersViewSchema,
            send: (client, abortSignal) => client.fleet.members.query({}, { signal: abortSignal }),
        }),
        listTargets: () => callProcedure({
            schema: targetsViewSchema,
            send: (client, abortSignal) => client.fleet.targets.query({}, { signal: abortSignal }),
        }),
        drainTarget: (input) => callProcedure({
            schema: drainViewSchema,
            send: (client, abortSignal) => client.target.drain.mutate(input, { signal: abortSignal }),
        }),
        startRollout: (input) => callProcedure({
            schema: rolloutsViewSchema,
            send: (client, abortSignal) => client.rollout.start.mutate(input, { signal: abortSignal }),
        }),
        listRollouts: () => callProcedure({
            schema: rolloutsViewSchema,
            send: (client, abortSignal) => client.rollout.list.query(undefined, { signal: abortSignal }),
        }),
        abortRollout: (input) => callProcedure({
            schema: rolloutsViewSchema,
            send: (client, abortSignal) => client.rollout.abort.mutate(input, { signal: abortSignal }),
        }),
    };
};
