/**
 * Creates the components that handle a request at the gateway: target selection, retries and forwarding to the target's
 * gate.
 */
import type { TargetMember } from "oleandergap-membership";
import {
    createAdmissionShares,
    createOverloadThrottle,
    createRequestRouter,
    createStarvationThrottle,
    createTargetPicker,
    type RequestRouter,
    type TargetPicker,
} from "oleandergap-routing";
import { findAdmissionRefusal } from "../admin/readiness.js";
import { recordRequestEnd } from "../admin/recordRequestEnd.js";
import type { ServiceReference } from "oleandergap-types";
import type { GatePath } from "../gate/createGatePath.js";
import type { UnservedCalls } from "../gate/unservedCalls.js";
import { createAttemptIds } from "../http/attemptId.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { HandleArrival } from "../http/listener.js";
import type { OpenRequests } from "../http/openRequests.js";
import type { EventLoopLagMonitor } from "../http/eventLoopLag.js";
import type { ReadAheadBudget } from "../http/readAhead.js";
import type { OverloadMonitor } from "../overload/overloadMonitor.js";
import type { RequestPathDependencies } from "../requestPathTypes.js";
import { createNodeStopAdmission, findStopRefusal, type CallerIdentity } from "../stop/stopAdmission.js";
import { createCallerServiceLookup } from "../target/localService.js";
import type { LocalTargetManager } from "../target/localTargetManager.js";
import { createCustomerIdentification, type IdentifyCustomer } from "./customerIdentification.js";
import { createKeyHolderLookup } from "./customerKeys.js";
import { createElapsedWaitEstimator } from "./elapsedWaitEstimator.js";
import { createFeedbackMemory } from "./feedbackMemory.js";
import { createGatewayHandler } from "./gatewayHandler.js";
import { createOwnerRouting } from "./ownerRouting.js";
import { createRequestContainment } from "./requestContainment.js";
import { createRequestLog, type LogFailedRequest } from "./requestLog.js";
import { createServiceChooser } from "./routeTable.js";
import { createSendToGate, type SendToGate } from "./sendToGate.js";
import { createUnresponsiveGateLog } from "./unresponsiveGateLog.js";
import { createTargetLookup } from "./targetLookup.js";

/** Components that the gateway shares with the gate. */
export interface GatewayPathParts {
    readonly pools: ConnectionPools;
    readonly target: LocalTargetManager;
    readonly gate: GatePath;
    readonly picker: TargetPicker<TargetMember>;
    readonly openRequests: OpenRequests;
    readonly catchUp: EventLoopLagMonitor["catchUp"];
    readonly recordUnserved: UnservedCalls["note"];
    readonly overloadMonitor: Pick<OverloadMonitor, "describeLoad">;
    readonly readAheadBudget: ReadAheadBudget;
}

const createFailureLog = ({ options, clock, createPartLogger }: RequestPathDependencies): LogFailedRequest =>
    createRequestLog({
        clock,
        logger: createPartLogger("request"),
        linesPerSecond: options.logs.requestLinesPerSecond,
    });

const createRouter = (
    { options, clock, random }: RequestPathDependencies,
    picker: TargetPicker<TargetMember>,
): RequestRouter<TargetMember> => createRequestRouter({
    clock,
    picker,
    options: options.routing.retry,
    admission: options.routing.refusals.admission ? { shares: createAdmissionShares(clock), random } : undefined,
    throttle: options.routing.refusals.overload ? createOverloadThrottle(clock, random) : undefined,
    starvation: options.routing.refusals.starvation ? createStarvationThrottle(clock, random) : undefined,
});

/** Creates the picker of targets. It reads the load of the local target at the local gate. */
export const createPicker = (
    { options, clock, random }: RequestPathDependencies,
    target: LocalTargetManager,
): TargetPicker<TargetMember> => createTargetPicker<TargetMember>({
    localNodeId: options.nodeId,
    localZone: options.zone,
    localLoad: () => target.current()?.gate.load(),
    clock,
    random,
    options: options.routing.picker,
});

/** Creates the function that sends requests to gates. Each attempt gets a unique id. */
const createSender = (
    { options: { nodeId, zone, requests }, bootId, clock, createPartLogger, readiness }: RequestPathDependencies,
    { pools, gate, picker, overloadMonitor }: GatewayPathParts,
): SendToGate => createSendToGate({
    clock,
    pools,
    localNodeId: nodeId,
    localZone: zone,
    loadExchange: picker,
    serveLocally: gate.serve,
    localLoad: gate.load,
    localAdmissionShare: gate.admissionShare,
    nextAttemptId: createAttemptIds(nodeId, bootId),
    connectionsPerNode: requests.connectionsPerNode,
    gateSilenceMs: requests.gateSilenceMs,
    bodySilenceMs: requests.bodySilenceMs,
    logUnresponsiveGate: createUnresponsiveGateLog(clock, createPartLogger("gateway")),
    feedbackMemory: createFeedbackMemory(),
    endsAt: () => readiness.endsAt,
    describeOwnLoad: overloadMonitor.describeLoad,
});

/** Creates the identification of customers. Only a caller without a key may be the local target. */
const createIdentification = (
    { callerService, dialects }: RequestPathDependencies,
    { gate }: GatewayPathParts,
): IdentifyCustomer => createCustomerIdentification({
    readCustomerKey: dialects.caller.readCustomerKey,
    findKeyHolder: createKeyHolderLookup(),
    mayBeLocalTarget: (callingService) => callerService === undefined ?
        callingService !== undefined :
        (gate.load()?.inFlight ?? 0) > 0 || gate.mayTargetCall(),
});

/** Creates the handler of requests from callers. */
export const createGatewayPath = (dependencies: RequestPathDependencies, parts: GatewayPathParts): HandleArrival => {
    const { options, clock, random, createPartLogger, metrics } = dependencies;
    const { requests } = options;
    const stopAdmission = createNodeStopAdmission(dependencies);
    const identifyCaller = (callingService: ServiceReference | undefined): CallerIdentity => {
        if (dependencies.callerService === undefined) {
            return callingService === undefined ? "Other" : "LocalTarget";
        }
        return (parts.gate.load()?.inFlight ?? 0) > 0 ? "PossiblyLocalTarget" : "Other";
    };
    return createGatewayHandler({
        clock,
        logger: createPartLogger("gateway"),
        dialect: dependencies.dialects.caller,
        openRequests: parts.openRequests,
        chooseService: createServiceChooser(random),
        elapsedWait: createElapsedWaitEstimator(),
        identifyCustomer: createIdentification(dependencies, parts),
        view: dependencies.view,
        findTargets: createTargetLookup({
            clock,
            directory: dependencies.directory,
            firstLookupMs: requests.firstLookupMs,
        }),
        splitTargets: dependencies.rollouts.split,
        router: createRouter(dependencies, parts.picker),
        findOwnerRouter: options.keyOwnership.enabled ?
            createOwnerRouting({ clock, partitions: options.keyOwnership.partitions }) :
            () => undefined,
        send: createSender(dependencies, parts),
        createRequestContainment: createRequestContainment(dependencies.containment),
        catchUp: parts.catchUp,
        quota: dependencies.quota,
        closed: () => findAdmissionRefusal(dependencies.readiness, random),
        findStopRefusal: (request, callingService) => findStopRefusal({
            isRefusing: dependencies.readiness.refusing,
            caller: identifyCaller(callingService),
            retryAfterMs: options.stop.lingerMs,
        }, stopAdmission, request),
        recordDuration: stopAdmission.recordDuration,
        findCallingService: createCallerServiceLookup(dependencies, parts.target),
        maxBodyBytes: requests.maxBodyBytes,
        readAheadBudget: parts.readAheadBudget,
        recordUnserved: parts.recordUnserved,
        countRequest: (end, duration, kind) => {
            metrics.countRequest("gateway", end, duration);
            recordRequestEnd(parts.gate.tally, "gateway", kind, end, duration);
        },
        logFailure: createFailureLog(dependencies),
    });
};
