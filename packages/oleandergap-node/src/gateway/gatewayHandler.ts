/**
 * Handles HTTP requests from callers: finds the service in the table in force, selects a target and forwards the
 * response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { TargetMember } from "oleandergap-membership";
import type { RequestRouter, TriedTarget } from "oleandergap-routing";
import type {
    Clock,
    Milliseconds,
    RequestFailure,
    ServiceReference,
    TableView,
    Verdict,
} from "oleandergap-types";
import type { Closure } from "../admin/readiness.js";
import { discardBody } from "../http/answer.js";
import type { CallerSignals } from "../http/callerSignal.js";
import type { CallerDialect } from "../http/dialect.js";
import type { RequestArrival } from "../http/listener.js";
import { HTTP_STATUS } from "../http/refusal.js";
import { isReplayable, receiveBody, toRequestFailure, type RequestBody } from "../http/requestBody.js";
import type { RequestEnd } from "../http/requestEnd.js";
import { writeAnswer, writeFailure } from "../http/writeAnswer.js";
import type { EstimateWaited } from "./callerPatience.js";
import { readCallerRequest, type CallerRequest } from "./callerRequest.js";
import type { FindOwnerRouter } from "./ownerRouting.js";
import type { LogFailedRequest } from "./requestLog.js";
import type { ChooseService } from "./routeTable.js";
import { sendWithCare, type CreateRequestCare } from "./requestCare.js";
import type { FindTargets } from "./targetLookup.js";
import type { SendToGate } from "./sendToGate.js";

export interface GatewayHandlerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly dialect: CallerDialect;
    readonly callerSignals: CallerSignals;
    readonly chooseService: ChooseService;
    readonly estimateWaited: EstimateWaited;
    /** Returns the tables currently in force. */
    readonly view: () => TableView;
    readonly findTargets: FindTargets;
    readonly router: RequestRouter<TargetMember>;
    /** Returns the router of a request whose idempotency key has an owner. */
    readonly findOwnerRouter: FindOwnerRouter;
    readonly send: SendToGate;
    readonly createRequestCare: CreateRequestCare;
    /** See `LoopLag`. */
    readonly catchUp?: () => Promise<void> | undefined;
    /**
     * Returns the reason why a request from this calling service, or from an unknown caller, is currently not accepted;
     * undefined if it is accepted.
     */
    readonly closed: (callingService: ServiceReference | undefined) => Closure | undefined;
    /**
     * Returns the service of this node's target if `address` is the target's address, so that the caller is that
     * service.
     */
    readonly callerAt: (address: string | undefined) => ServiceReference | undefined;
    readonly maxBodyBytes: number;
    /** Called when a request at this gateway was not served; it may have been an outgoing call of the local target. */
    readonly noteUnserved: () => void;
    /** Counts a finished request. `kind` is the name of the route, or an empty string. */
    readonly countRequest: (end: RequestEnd, duration: Milliseconds, kind: string) => void;
    readonly logFailure: LogFailedRequest;
}

/** State of a caller's request while it is handled. */
interface Passage {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrival: RequestArrival;
    readonly startedAt: Milliseconds;
    /** Request id that the caller assigned. */
    readonly requestId: string | undefined;
    /** Service of the caller if the caller is this node's own target. */
    readonly callingService: ServiceReference | undefined;
    /** Set once the request head has been parsed. */
    deadline: Milliseconds;
    /** Set once the request head has been parsed. */
    caller: CallerRequest | undefined;
    /** Set once the part of the body that is buffered has been received. */
    body: RequestBody | undefined;
    /** Whether a downstream hop has already retried. */
    isRetried: boolean;
}

const startPassage = (
    { clock, dialect, callerAt }: GatewayHandlerDependencies,
    arrived: Pick<Passage, "request" | "response" | "arrival">,
): Passage => ({
    ...arrived,
    startedAt: clock.monotonic(),
    requestId: dialect.readRequestId(arrived.request),
    callingService: callerAt(arrived.request.socket.remoteAddress),
    deadline: Number.POSITIVE_INFINITY,
    caller: undefined,
    body: undefined,
    isRetried: false,
});

/** Timers may fire earlier than due by this time. */
const TIMER_TOLERANCE_MS = 2;

export const createGatewayHandler = (dependencies: GatewayHandlerDependencies) => {
    const { clock, dialect } = dependencies;

    const describeAnswer = ({ caller, requestId, isRetried }: Passage, verdict: Verdict): Record<string, string> =>
        dialect.describeAnswer({ verdict, version: caller?.table.head, requestId, isRetried });

    const refuse = (
        passage: Passage,
        failure: RequestFailure,
        retryAfterMs?: Milliseconds,
        tried: readonly TriedTarget[] = [],
    ): void => {
        if (failure.kind !== "BadRequest") {
            dependencies.noteUnserved();
        }
        const now = clock.monotonic();
        const isLate = failure.kind === "AnswerLost" && now >= passage.deadline - TIMER_TOLERANCE_MS;
        const context = { statusCode: isLate ? HTTP_STATUS.gatewayTimeout : undefined, retryAfterMs };
        const described = dialect.describeFailure(failure, context);
        writeFailure(passage.response, described, describeAnswer(passage, failure.verdict));
        dependencies.countRequest({ kind: "Failed", failure }, now - passage.startedAt, passage.caller?.kind ?? "");
        dependencies.logFailure({
            id: passage.requestId,
            caller: passage.caller,
            body: passage.body,
            failure,
            retryAfterMs,
            isFirst: passage.arrival.isFirst,
            queuedMs: passage.startedAt - passage.arrival.receivedAt,
            durationMs: now - passage.startedAt,
            leftMs: passage.deadline - now,
            tried,
        });
    };

    const route = async (passage: Passage, caller: CallerRequest, body: RequestBody): Promise<void> => {
        const signal = dependencies.callerSignals.create(passage.response);
        const { service, row, table, deadline } = caller;
        const found = dependencies.findTargets({ service, row, table, deadline, signal });
        const care = dependencies.createRequestCare(caller, body);
        const targets = care.chooseTargets(found instanceof Promise ? await found : found);
        const ownerRouter = caller.idempotencyKey === undefined ?
            undefined :
            dependencies.findOwnerRouter(service, caller.idempotencyKey, targets);
        const routed = await (ownerRouter ?? dependencies.router).execute({
            service,
            row,
            targets,
            idempotent: caller.idempotent,
            replayable: () => isReplayable(body),
            deadline,
            retriesAllowed: !dialect.forbidsRetries(passage.request),
            maximumTargets: caller.maximumTargets,
            kind: caller.kind,
            isReturning: caller.isReturning,
            findObstacle: care.findObstacle,
            signal,
        }, sendWithCare(care, (target, isSuspect, context) =>
            dependencies.send(target, {
                request: caller, caller: passage.callingService, body, isSuspect, ...context,
            })), discardBody);

        if (either.isLeft(routed)) {
            passage.isRetried = routed.left.retriedBelow;
            refuse(passage, routed.left.failure, routed.left.retryAfterMs, routed.left.tried);
            return;
        }
        const { answer, retriedBelow, isStarved } = routed.right;
        if (isStarved === true) {
            dependencies.noteUnserved();
        }
        passage.isRetried = retriedBelow;
        const duration = clock.monotonic() - passage.startedAt;
        dependencies.countRequest({ kind: "Answered", statusCode: answer.statusCode }, duration, caller.kind);
        writeAnswer(passage.response, answer, describeAnswer(passage, "ran"));
    };

    const handle = async (passage: Passage): Promise<void> => {
        const closed = dependencies.closed(passage.callingService);
        if (closed !== undefined) {
            refuse(passage, { kind: "Refused", verdict: "notRun", ...closed });
            return;
        }
        const { chooseService, estimateWaited } = dependencies;
        const { receivedAt } = passage.arrival;
        const context = { receivedAt, view: dependencies.view(), dialect, chooseService, estimateWaited };
        const caller = readCallerRequest(context, passage.request);
        if (either.isLeft(caller)) {
            refuse(passage, caller.left);
            return;
        }
        passage.caller = caller.right;
        passage.deadline = caller.right.deadline;
        const received = receiveBody(passage.request, {
            clock,
            maxBytes: dependencies.maxBodyBytes,
            deadline: passage.deadline,
        });
        const body = received instanceof Promise ? await received : received;
        if (either.isLeft(body)) {
            refuse(passage, toRequestFailure(body.left));
            return;
        }
        passage.body = body.right;
        // A reused connection may have delivered the request and its own end together, and the end is read only one
        // event loop iteration later. A node with event loop lag that forwarded the request immediately would run it
        // for a caller that left long ago.
        const caughtUp = dependencies.catchUp?.();
        if (caughtUp !== undefined) {
            await caughtUp;
        }
        await route(passage, caller.right, body.right);
    };

    return (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival): void => {
        const passage = startPassage(dependencies, { request, response, arrival });
        handle(passage).catch((error: unknown) => {
            dependencies.logger.error("A request failed unexpectedly.", { detail: String(error) });
            response.destroy();
        });
    };
};
