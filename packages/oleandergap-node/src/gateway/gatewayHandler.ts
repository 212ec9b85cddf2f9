/**
 * Handles HTTP requests from callers: finds the service in the table in force, selects a target and forwards the
 * response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Quota } from "oleandergap-customers";
import type { Logger } from "oleandergap-logger";
import type { TargetMember } from "oleandergap-membership";
import type { AttemptedTarget, RequestExecution, RequestRouter } from "oleandergap-routing";
import type {
    Clock,
    Milliseconds,
    RefusalReason,
    RequestFailure,
    ServiceReference,
    TableView,
} from "oleandergap-types";
import type { AdmissionRefusal } from "../admin/readiness.js";
import { discardBody } from "../http/upstreamResponse.js";
import type { CallerDialect } from "../http/dialect.js";
import type { RequestArrival } from "../http/listener.js";
import type { OpenRequests } from "../http/openRequests.js";
import { destroyResponse } from "../http/pipelinedRequests.js";
import { HTTP_STATUS } from "../http/refusal.js";
import type { ReadAheadBudget } from "../http/readAhead.js";
import { isReplayable, receiveBody, toRequestFailure, type RequestBody } from "../http/requestBody.js";
import { FIRST_ERROR_STATUS, type RequestResult } from "../http/requestResult.js";
import { discardRestOfRequest } from "../http/restOfRequest.js";
import { writeResponse, writeFailure } from "../http/writeResponse.js";
import type { ElapsedWaitEstimator } from "./elapsedWaitEstimator.js";
import type { IdentifyCustomer } from "./customerIdentification.js";
import { readCallerRequest, type CallerRequest } from "./callerRequest.js";
import { getCountedKind } from "./countedKind.js";
import type { FindOwnerRouter } from "./ownerRouting.js";
import { returnQuotaToken, takeQuotaToken } from "./quotaTokens.js";
import type { LogFailedRequest } from "./requestLog.js";
import type { ChooseService } from "./routeTable.js";
import { describeFailedRequest, describeResponse, type RequestState } from "./requestState.js";
import { sendWithContainment, type CreateRequestContainment } from "./requestContainment.js";
import { chooseRequestTargets, type SplitTargets } from "./requestTargets.js";
import type { FindTargets } from "./targetLookup.js";
import type { SendToGate } from "./sendToGate.js";

export interface GatewayHandlerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly dialect: CallerDialect;
    readonly openRequests: OpenRequests;
    readonly chooseService: ChooseService;
    readonly elapsedWait: ElapsedWaitEstimator;
    readonly identifyCustomer: IdentifyCustomer;
    /** Returns the tables currently in force. */
    readonly view: () => TableView;
    readonly findTargets: FindTargets;
    readonly splitTargets: SplitTargets;
    readonly router: RequestRouter<TargetMember>;
    /** Returns the router of a request whose idempotency key has an owner. */
    readonly findOwnerRouter: FindOwnerRouter;
    readonly send: SendToGate;
    readonly createRequestContainment: CreateRequestContainment;
    readonly quota: Quota;
    /** See `EventLoopLagMonitor`. */
    readonly catchUp?: () => Promise<void> | undefined;
    /** Returns the reason why no request is currently accepted; undefined if requests are accepted. */
    readonly closed: () => AdmissionRefusal | undefined;
    /**
     * Returns the reason why a stopping node does not accept this request from this calling service, or from an unknown
     * caller; undefined if it is accepted.
     */
    readonly findStopRefusal: (
        request: CallerRequest,
        callingService: ServiceReference | undefined,
    ) => AdmissionRefusal | undefined;
    /** Records how long a request of a kind took until its response was written. */
    readonly recordDuration: (kind: string, duration: Milliseconds) => void;
    /**
     * Returns the service of this node's target if `address` is the target's address, so that the caller is that
     * service.
     */
    readonly findCallingService: (address: string | undefined) => ServiceReference | undefined;
    readonly maxBodyBytes: number;
    /** Memory of the uploads that wait, at the gateway and at the gate. */
    readonly readAheadBudget: ReadAheadBudget;
    /** Called when a request at this gateway was not served; it may have been an outgoing call of the local target. */
    readonly recordUnserved: () => void;
    /** Counts a finished request. See `getCountedKind` for `kind`. */
    readonly countRequest: (end: RequestResult, duration: Milliseconds, kind: string) => void;
    readonly logFailure: LogFailedRequest;
}

const createRequestState = (
    { clock, dialect, findCallingService }: GatewayHandlerDependencies,
    incoming: Pick<RequestState, "request" | "response" | "arrival">,
): RequestState => ({
    ...incoming,
    startedAt: clock.monotonic(),
    requestId: dialect.readRequestId(incoming.request),
    callingService: findCallingService(incoming.request.socket.remoteAddress),
    deadline: Number.POSITIVE_INFINITY,
    caller: undefined,
    quotaToken: undefined,
    body: undefined,
    isRetried: false,
});

/** Parses the head of the request with the tables that are now in force, and refuses it if the node stops too soon. */
const readHead = (
    dependencies: GatewayHandlerDependencies,
    state: RequestState,
): Either<RequestFailure, CallerRequest> => {
    const { view, dialect, chooseService, elapsedWait, identifyCustomer, findStopRefusal } = dependencies;
    const { arrival: { receivedAt, isFirst }, callingService } = state;
    const context = {
        receivedAt,
        isFirst,
        view: view(),
        dialect,
        chooseService,
        estimateElapsedWait: elapsedWait.estimate,
        identifyCustomer,
        callingService,
    };
    const caller = readCallerRequest(context, state.request);
    if (either.isLeft(caller)) {
        return caller;
    }
    state.caller = caller.right;
    state.deadline = caller.right.deadline;
    const stopRefusal = findStopRefusal(caller.right, state.callingService);
    return stopRefusal === undefined ?
        caller :
        either.left({ kind: "Refused", verdict: "notRun", ...stopRefusal });
};

/** Reasons for which no call of the local target is refused, since its calls belong to no customer. */
const CUSTOMER_REASONS: ReadonlySet<RefusalReason> = new Set(["UnknownKey", "QuotaExceeded"]);

/** Returns whether a failure is the fault of its caller. A call of the local target never fails for such a reason. */
const isCallersFault = (failure: RequestFailure): boolean =>
    failure.kind === "BadRequest" || (failure.kind === "Refused" && CUSTOMER_REASONS.has(failure.reason));

/** Returns whether the rest of a refused request is read. A caller that is not known is disconnected instead. */
const readsRestAfter = (failure: RequestFailure): boolean =>
    failure.kind !== "Refused" || failure.reason !== "UnknownKey";

/** Returns the properties of a request by which the router distinguishes requests. */
const selectRoutingProperties = (
    { maximumTargets, kind, customer, isCallerRetry }: CallerRequest,
): Pick<RequestExecution<TargetMember>, "maximumTargets" | "kind" | "customer" | "customerPriority" | "isCallerRetry"> =>
    ({ maximumTargets, kind, customer: customer?.name, customerPriority: customer?.priority, isCallerRetry });

/** Timers may fire earlier than due by this time. */
const TIMER_TOLERANCE_MS = 2;

/** Returns the status of a response that was awaited until its deadline; undefined for all other failures. */
const selectStatusCode = ({ kind }: RequestFailure, leftMs: Milliseconds): number | undefined =>
    kind === "AnswerLost" && leftMs <= TIMER_TOLERANCE_MS ? HTTP_STATUS.gatewayTimeout : undefined;

/** Delay after which a caller may return whose request waited for too long, as after a refusal by the throttles. */
const OVERDUE_RETRY_AFTER_MS: Milliseconds = 1000;
const OVERDUE: RequestFailure =
    { kind: "Refused", verdict: "notRun", reason: "LimitReached", retryAfterMs: OVERDUE_RETRY_AFTER_MS };

export const createGatewayHandler = (dependencies: GatewayHandlerDependencies) => {
    const { clock, dialect, maxBodyBytes: maxBytes } = dependencies;
    const limits = { clock, maxBytes, readAheadBudget: dependencies.readAheadBudget };

    const refuse = (
        state: RequestState,
        failure: RequestFailure,
        retryAfterMs?: Milliseconds,
        tried: readonly AttemptedTarget[] = [],
    ): void => {
        if (!isCallersFault(failure)) {
            dependencies.recordUnserved();
        }
        if (state.caller !== undefined) {
            dependencies.elapsedWait.recordFailure(state.caller.kind);
        }
        returnQuotaToken(dependencies.quota, state, failure);
        const now = clock.monotonic();
        const context = { statusCode: selectStatusCode(failure, state.deadline - now), retryAfterMs };
        const failureResponse = dialect.describeFailure(failure, context);
        const isRestRead = readsRestAfter(failure) && discardRestOfRequest(state.request, state.body, limits);
        writeFailure(state.response, failureResponse, describeResponse(dialect, state, failure.verdict), isRestRead);
        dependencies.countRequest({ kind: "Failed", failure }, now - state.startedAt, getCountedKind(state.caller));
        if (failure.verdict !== "notRun" && state.caller !== undefined) {
            dependencies.recordDuration(state.caller.kind, now - state.startedAt);
        }
        dependencies.logFailure({ ...describeFailedRequest(state, now), failure, retryAfterMs, tried });
    };

    const routeRequest = async (
        state: RequestState,
        caller: CallerRequest,
        body: RequestBody,
        signal: AbortSignal,
    ): Promise<void> => {
        const { service, row, table, deadline, objective } = caller;
        const found = dependencies.findTargets({ service, row, table, deadline, signal });
        const containment = dependencies.createRequestContainment(caller, body);
        const foundTargets = found instanceof Promise ? await found : found;
        const { targets, trial } = chooseRequestTargets(service, foundTargets, dependencies.splitTargets, containment);
        const ownerRouter = caller.idempotencyKey === undefined ?
            undefined :
            dependencies.findOwnerRouter(service, caller.idempotencyKey, targets);
        const routed = await (ownerRouter ?? dependencies.router).execute({
            service,
            row,
            targets,
            trial,
            idempotent: caller.idempotent,
            canReplayBody: () => isReplayable(body),
            deadline,
            objective,
            retriesAllowed: !dialect.forbidsRetries(state.request),
            ...selectRoutingProperties(caller),
            findRefusal: containment.findRefusal,
            signal,
        }, sendWithContainment(containment, (target, isSuspect, context) =>
            dependencies.send(target, { request: caller, caller: state.callingService, body, isSuspect, ...context })),
        discardBody);

        if (either.isLeft(routed)) {
            state.isRetried = routed.left.retriedDownstream;
            refuse(state, routed.left.failure, routed.left.retryAfterMs, routed.left.attemptedTargets);
            return;
        }
        const { answer, retriedDownstream, isStarved } = routed.right;
        if (isStarved === true) {
            dependencies.recordUnserved();
        }
        if (answer.statusCode >= FIRST_ERROR_STATUS) {
            dependencies.elapsedWait.recordFailure(caller.kind);
        }
        state.isRetried = retriedDownstream;
        const duration = clock.monotonic() - state.startedAt;
        dependencies.countRequest({ kind: "Answered", statusCode: answer.statusCode }, duration, getCountedKind(caller));
        state.response.once("finish", () =>
            dependencies.recordDuration(caller.kind, clock.monotonic() - state.startedAt));
        discardRestOfRequest(state.request, body, limits);
        writeResponse(state.response, answer, describeResponse(dialect, state, "ran"));
    };

    const handle = async (state: RequestState): Promise<void> => {
        const admissionRefusal = dependencies.closed();
        if (admissionRefusal !== undefined) {
            refuse(state, { kind: "Refused", verdict: "notRun", ...admissionRefusal });
            return;
        }
        if (state.arrival.isOverdue) {
            refuse(state, OVERDUE);
            return;
        }
        const caller = readHead(dependencies, state);
        if (either.isLeft(caller)) {
            refuse(state, caller.left);
            return;
        }
        const signal = dependencies.openRequests.open(state.response, state.requestId);
        const quotaDecision = takeQuotaToken(dependencies.quota, state, caller.right);
        const quotaRefusal = quotaDecision && await quotaDecision;
        if (quotaRefusal !== undefined) {
            refuse(state, quotaRefusal);
            return;
        }
        const received = receiveBody(state.request, { ...limits, deadline: state.deadline, signal });
        const body = received instanceof Promise ? await received : received;
        if (either.isLeft(body)) {
            refuse(state, toRequestFailure(body.left));
            return;
        }
        state.body = body.right;
        // A request and the end of its connection may arrive together on a reused connection, and the end is read only
        // one event loop iteration later. A node with event loop lag that forwarded the request immediately would run
        // it for a caller that disconnected long ago.
        const inputRead = dependencies.catchUp?.();
        if (inputRead !== undefined) {
            await inputRead;
        }
        await routeRequest(state, caller.right, body.right, signal);
    };

    return (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival): void => {
        const state = createRequestState(dependencies, { request, response, arrival });
        handle(state).catch((error: unknown) => {
            dependencies.logger.error("A request failed unexpectedly.", { detail: String(error) });
            destroyResponse(response);
        });
    };
};
