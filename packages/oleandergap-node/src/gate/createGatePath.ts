/** Wires the request path at the gate: containment, admission, claims and the local target. */
import { createGate } from "oleandergap-gate";
import type { LoadExchange } from "oleandergap-routing";
import { createClaimSweeper, type ClaimSweeper } from "oleandergap-idempotency";
import type { Clock, GateLoad } from "oleandergap-types";
import type { OverloadMonitor } from "../overload/overloadMonitor.js";
import { createProcessLoadReader } from "../overload/processLoad.js";
import { createRequestTally, type RequestTally } from "../admin/requestTally.js";
import { recordRequestEnd } from "../admin/recordRequestEnd.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { HandleArrival } from "../http/listener.js";
import type { OpenRequests } from "../http/openRequests.js";
import type { EventLoopLagMonitor } from "../http/eventLoopLag.js";
import type { ReadAheadBudget } from "../http/readAhead.js";
import { toRequestResult } from "../http/requestResult.js";
import type { RequestPathDependencies } from "../requestPathTypes.js";
import { createNodeStopAdmission } from "../stop/stopAdmission.js";
import { findServiceRow, type LocalService } from "../target/localService.js";
import { describeFeedback } from "../target/localTarget.js";
import { createLocalTargetManager, type LocalTargetManager } from "../target/localTargetManager.js";
import { createContainmentGuard } from "./containmentGuard.js";
import { createAbandonedRequestLog } from "./abandonedRequestLog.js";
import { createClaims, type Claims } from "./createClaims.js";
import { createGateHandler } from "./gateHandler.js";
import type { ServeAtGate } from "./gateRequest.js";
import { createRolloutObserver } from "./rolloutObserver.js";
import { createTargetRunObserver } from "./createTargetRunObserver.js";
import { createServeAtGate, noTargetRefusal } from "./serveAtGate.js";
import { createTargetCallTimes, type TargetCallTimes } from "./targetCallTimes.js";
import type { UnservedCalls } from "./unservedCalls.js";

/** Parts of the node that the gate shares with the gateway. */
export interface GatePathParts {
    readonly pools: ConnectionPools;
    readonly target: LocalTargetManager;
    readonly localService: LocalService;
    /** See `GateHandlerDependencies`. */
    readonly loadExchange: LoadExchange;
    readonly catchUp: EventLoopLagMonitor["catchUp"];
    readonly recentLag: EventLoopLagMonitor["recentLag"];
    readonly isFailureExplained: UnservedCalls["explain"];
    /** The requests of other nodes that are in flight. */
    readonly openRequests: OpenRequests;
    readonly overloadMonitor: Pick<OverloadMonitor, "recordReport">;
    readonly readAheadBudget: ReadAheadBudget;
}

/** The gate of a node. */
export interface GatePath {
    readonly claims: Claims;
    readonly claimSweeper: ClaimSweeper;
    /** Counts the requests at the gateway and at the gate. */
    readonly tally: RequestTally;
    /** Returns the load of the gate, see `Gate`; undefined while there is no target. */
    readonly load: (kind?: string) => GateLoad | undefined;
    /** Returns the share of the requests of a priority that nodes should send; undefined while there is no target. */
    readonly admissionShare: (priority: number) => number | undefined;
    readonly serve: ServeAtGate;
    /** Returns whether the local target may make calls of its own now. */
    readonly mayTargetCall: TargetCallTimes["mayCall"];
    /** Handles requests from other nodes. */
    readonly handleGate: HandleArrival;
}

/** Creates the manager of the local target and of its gate. */
export const createTarget = (
    { options, clock, createPartLogger, publishTarget, view, departures }: RequestPathDependencies,
    pausedTime: EventLoopLagMonitor["pausedTime"],
): LocalTargetManager => createLocalTargetManager({
    clock,
    logger: createPartLogger("target"),
    publish: publishTarget,
    departures,
    findLimit: (service) => findServiceRow(view(), service)?.limit,
    createGate: (limit, slots) => createGate({ clock, limit, slots, options: options.gate, pausedTime }),
    ...options.target,
    slowStartMs: options.routing.picker.slowStartMs,
});

/** Wraps `serve` to count all requests at the gate, from other nodes and from this node's gateway. */
const countGateRequests = (clock: Clock, tally: RequestTally, serve: ServeAtGate): ServeAtGate => async (request) => {
    const startedAt = clock.monotonic();
    const outcome = await serve(request);
    recordRequestEnd(tally, "gate", request.kind, toRequestResult(outcome), clock.monotonic() - startedAt);
    return outcome;
};

const createSweeper = (
    { options, backgroundClock, random, tableService, createPartLogger }: RequestPathDependencies,
    services: LocalService["services"],
): ClaimSweeper => createClaimSweeper({
    tableService,
    clock: backgroundClock,
    random,
    logger: createPartLogger("claims"),
    options: options.claims,
    services,
});

const createLocalClaims = (
    { options, clock, random, bootId, createPartLogger, tableService, signal }: RequestPathDependencies,
    { services, listMembers }: LocalService,
): Claims => createClaims({
    tableService,
    clock,
    random,
    nodeId: options.nodeId,
    bootId,
    logger: createPartLogger("claims"),
    options: options.claims,
    ownershipOptions: options.keyOwnership,
    services,
    members: listMembers,
    isMember: (node) => services().some((service) => listMembers(service).includes(node)),
    signal,
});

/** Creates the gate of a node. Its request tally runs until the signal aborts. */
export const createGatePath = (dependencies: RequestPathDependencies, parts: GatePathParts): GatePath => {
    const { options, clock, backgroundClock, createPartLogger } = dependencies;
    const { claims: claimOptions, requests } = options;
    const { pools, target, localService, catchUp, isFailureExplained } = parts;
    const claims = createLocalClaims(dependencies, localService);
    const claimSweeper = createSweeper(dependencies, localService.services);
    const load: GatePath["load"] = (kind) => target.current()?.gate.load(kind);
    const admissionShare: GatePath["admissionShare"] = (priority) => target.current()?.gate.admissionShare(priority);
    const tally = createRequestTally({
        clock: backgroundClock,
        logger: createPartLogger("request"),
        load,
        readProcessLoad: createProcessLoadReader(),
    });
    tally.start(dependencies.signal);
    const { containment, rollouts } = dependencies;
    const callTimes = createTargetCallTimes(clock, requests.usualTimeoutMs);
    const serveAtTarget = createServeAtGate({
        clock,
        pools,
        claims,
        dialect: dependencies.dialects.target,
        currentTarget: target.current,
        maxAnswerBytes: claimOptions.maxAnswerBytes,
        minInactivityTimeoutMs: requests.targetSilenceMs,
        bodySilenceMs: requests.bodySilenceMs,
        isFailureExplained: isFailureExplained,
        observeRun: createTargetRunObserver({ clock, containment, createPartLogger, target }),
        rolloutObserver: createRolloutObserver({ clock, rollouts, coldStartMs: options.routing.picker.slowStartMs }),
        stopAdmission: createNodeStopAdmission(dependencies),
        recordRun: callTimes.recordRun,
        catchUp,
    });
    const serve = countGateRequests(clock, tally, createContainmentGuard(clock, containment, serveAtTarget));
    const handleGate = createGateHandler({
        clock,
        logger: createPartLogger("gate"),
        openRequests: parts.openRequests,
        readCallerRequestId: dependencies.dialects.caller.readRequestId,
        serve,
        refuseOverdue: (request) => {
            const failure = target.current()?.gate.refuseOverdue(request) ?? noTargetRefusal;
            recordRequestEnd(tally, "gate", request.kind, { kind: "Failed", failure }, 0);
            return failure;
        },
        recordSenderLoad: parts.overloadMonitor.recordReport,
        load,
        admissionShare,
        loadExchange: parts.loadExchange,
        feedback: () => describeFeedback(target.current()),
        maxBodyBytes: requests.maxBodyBytes,
        readAheadBudget: parts.readAheadBudget,
        usualTimeoutMs: requests.usualTimeoutMs,
        recentLag: parts.recentLag,
        countRequest: (end, duration) => dependencies.metrics.countRequest("gate", end, duration),
        recordAbandonedRequest: createAbandonedRequestLog({
            clock, logger: createPartLogger("gate"), count: dependencies.metrics.countAbandoned,
        }),
    });
    return { claims, claimSweeper, tally, load, admissionShare, serve, mayTargetCall: callTimes.mayCall, handleGate };
};
