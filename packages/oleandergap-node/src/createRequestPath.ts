/** Wires the way of a request: gateway, choice of target, gate, claims, target. */
import type { Logger } from "oleandergap-logger";
import { createGate } from "oleandergap-gate";
import { createClaimSweeper, type ClaimSweeper } from "oleandergap-idempotency";
import type { TargetDirectory, TargetMember } from "oleandergap-membership";
import {
    createOverloadThrottle,
    createRequestRouter,
    createStarvationThrottle,
    createTargetPicker,
    type RequestRouter,
    type TargetPicker,
} from "oleandergap-routing";
import type {
    Clock,
    GateLoad,
    MemberTarget,
    Milliseconds,
    NodeId,
    ServiceReference,
    ServiceRow,
    TableService,
    TableView,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { findClosure, type ReadinessState } from "./admin/readiness.js";
import { reasonOf, type NodeMetrics, type ServedAt } from "./admin/metrics.js";
import { createRequestTally, type RequestTally } from "./admin/requestTally.js";
import { createClaims, type Claims } from "./gate/createClaims.js";
import { createGateHandler } from "./gate/gateHandler.js";
import type { ServeAtGate } from "./gate/gateRequest.js";
import { createServeAtGate } from "./gate/serveAtGate.js";
import { createUnservedCalls } from "./gate/unservedCalls.js";
import { createCallerPatience } from "./gateway/callerPatience.js";
import { createGatewayHandler } from "./gateway/gatewayHandler.js";
import { createSendToGate } from "./gateway/sendToGate.js";
import { createSilenceLog } from "./gateway/silenceLog.js";
import { createOwnerRouting, listOwners } from "./gateway/ownerRouting.js";
import { createRequestLog, type LogFailedRequest } from "./gateway/requestLog.js";
import { createServiceChooser } from "./gateway/routeTable.js";
import { createTargetLookup, listServingZones } from "./gateway/targetLookup.js";
import type { Dialects } from "./http/dialect.js";
import { createCallerSignals } from "./http/callerSignal.js";
import { startLoopLag } from "./http/loopLag.js";
import { isFailedEnd, toRequestEnd, type RequestEnd } from "./http/requestEnd.js";
import { createConnectionPools, type ConnectionPools } from "./http/connectionPools.js";
import type { HandleArrival } from "./http/listener.js";
import type { NodeOptions } from "./options.js";
import { createTargetKeeper, type TargetKeeper } from "./target/targetKeeper.js";

export interface RequestPathDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** For periodic work. */
    readonly backgroundClock: Clock;
    readonly random: Random;
    readonly createPartLogger: (part: string) => Logger;
    readonly metrics: NodeMetrics;
    readonly view: () => TableView;
    /** Tells the other nodes of the own target. */
    readonly publishTarget: (target: MemberTarget | undefined) => void;
    readonly directory: Pick<TargetDirectory, "targetsOf">;
    readonly tableService: TableService;
    /** Differs with each start of the process. */
    readonly bootId: string;
    readonly readiness: Readonly<ReadinessState>;
    readonly dialects: Dialects;
    /** The service of all callers at the gateway, where they all belong to this VM. */
    readonly callerService: ServiceReference | undefined;
    readonly signal: AbortSignal;
}

export interface RequestPath {
    readonly target: TargetKeeper;
    readonly claims: Claims;
    readonly claimSweeper: ClaimSweeper;
    readonly pools: ConnectionPools;
    /** Requests of other nodes. */
    readonly handleGate: HandleArrival;
    /** Requests of callers. */
    readonly handleGateway: HandleArrival;
    /** Gives every caller whose request is under way its final answer. */
    readonly giveUpAll: () => void;
    /** Whether another target of the own target's service takes requests, or there is no own target. */
    readonly hasSubstitute: () => boolean;
    /** Whether requests of the own target are known from those of other callers. */
    readonly knowsOwnTarget: boolean;
}

const findRow = (view: TableView, { partner, service }: ServiceReference): ServiceRow | undefined =>
    view.get(partner)?.services.get(service);

const createPools = ({ options: { requests }, clock }: RequestPathDependencies): ConnectionPools =>
    createConnectionPools({
        clock,
        connectTimeoutMs: requests.connectTimeoutMs,
        idleMs: requests.idleConnectionMs,
        poolIdleMs: requests.poolIdleMs,
    });

const createLog = ({ options, clock, createPartLogger }: RequestPathDependencies): LogFailedRequest =>
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
    throttle: options.routing.refusals.overload ? createOverloadThrottle(clock, random) : undefined,
    starvation: options.routing.refusals.starvation ? createStarvationThrottle(clock, random) : undefined,
});

const createPauseLog = ({ createPartLogger }: RequestPathDependencies): (lagMs: Milliseconds) => void => {
    const logger = createPartLogger("node");
    return (lagMs) => logger.warn("The process was behind with its events.", { lagMs: Math.round(lagMs) });
};

const createTarget = ({
    options, clock, createPartLogger, publishTarget, view,
}: RequestPathDependencies): TargetKeeper => createTargetKeeper({
    clock,
    logger: createPartLogger("target"),
    publish: publishTarget,
    limitOf: (service) => findRow(view(), service)?.limit,
    createGate: (limit, slots) => createGate({ clock, limit, slots, options: options.gate }),
    ...options.target,
    slowStartMs: options.routing.picker.slowStartMs,
});

const tallyEnd = (
    tally: RequestTally,
    at: ServedAt,
    kind: string,
    end: RequestEnd,
    durationMs: Milliseconds,
): void => tally.note({ at, kind, end: reasonOf(end), isFailure: isFailedEnd(end), durationMs });

/** Sums up all that arrives at the gate, from other nodes and from this one. */
const tallyGate = (clock: Clock, tally: RequestTally, serve: ServeAtGate): ServeAtGate => async (request) => {
    const startedAt = clock.monotonic();
    const outcome = await serve(request);
    tallyEnd(tally, "gate", request.kind, toRequestEnd(outcome), clock.monotonic() - startedAt);
    return outcome;
};

/** The service of the own target, and the nodes that serve it as well. */
interface OwnService {
    /** Empty while there is no target. */
    readonly services: () => readonly ServiceReference[];
    /** Nodes whose targets of a service take requests. */
    readonly listMembers: (service: ServiceReference) => readonly NodeId[];
    readonly hasSubstitute: RequestPath["hasSubstitute"];
}

const createOwnService = (
    { options, view, directory }: RequestPathDependencies,
    target: TargetKeeper,
): OwnService => {
    const services: OwnService["services"] = () => {
        const announcement = target.current()?.announcement;
        return announcement === undefined ? [] : [{ partner: announcement.partner, service: announcement.service }];
    };
    const listMembers: OwnService["listMembers"] = (service) => {
        const table = view().get(service.partner);
        const row = findRow(view(), service);
        return table === undefined || row === undefined ?
            [] :
            listOwners(directory.targetsOf(service, listServingZones(table, row)));
    };
    const hasSubstitute = (): boolean =>
        services().every((service) => listMembers(service).some((node) => node !== options.nodeId));
    return { services, listMembers, hasSubstitute };
};

const createSweeper = (
    { options, backgroundClock, random, tableService, createPartLogger }: RequestPathDependencies,
    services: OwnService["services"],
): ClaimSweeper => createClaimSweeper({
    tableService,
    clock: backgroundClock,
    random,
    logger: createPartLogger("claims"),
    options: options.claims,
    services,
});

/** The service of the caller at an address, as far as it is known. */
const createCallerLookup = (
    { callerService }: RequestPathDependencies,
    target: TargetKeeper,
) => (address: string | undefined): ServiceReference | undefined => {
    if (callerService !== undefined) {
        return callerService;
    }
    const announcement = target.current()?.announcement;
    return announcement !== undefined && announcement.address === address ? announcement : undefined;
};

export const createRequestPath = (dependencies: RequestPathDependencies): RequestPath => {
    const { options, clock, backgroundClock, random, createPartLogger, metrics, view, bootId, signal } = dependencies;
    const { requests } = options;
    let attempts = 0;

    const pools = createPools(dependencies);
    const target = createTarget(dependencies);
    const lag = startLoopLag({ clock, onPause: createPauseLog(dependencies) }, signal);
    const callerSignals = createCallerSignals();
    const { services, listMembers, hasSubstitute } = createOwnService(dependencies, target);
    const claims = createClaims({
        tableService: dependencies.tableService,
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
    const claimSweeper = createSweeper(dependencies, services);
    const load = (): GateLoad | undefined => target.current()?.gate.load();
    const tally = createRequestTally({ clock: backgroundClock, logger: createPartLogger("request"), load });
    tally.start(signal);
    const unservedCalls = createUnservedCalls(clock);
    const serve = tallyGate(clock, tally, createServeAtGate({
        clock,
        pools,
        claims,
        dialect: dependencies.dialects.target,
        currentTarget: target.current,
        maxAnswerBytes: options.claims.maxAnswerBytes,
        minSilenceMs: requests.targetSilenceMs,
        bodySilenceMs: requests.bodySilenceMs,
        explainFailure: unservedCalls.explain,
        catchUp: lag.catchUp,
    }));
    const handleGate = createGateHandler({
        clock,
        logger: createPartLogger("gate"),
        serve,
        load,
        maxBodyBytes: requests.maxBodyBytes,
        usualTimeoutMs: requests.usualTimeoutMs,
        countRequest: (end, duration) => metrics.countRequest("gate", end, duration),
    });
    const picker = createTargetPicker<TargetMember>({
        ownNode: options.nodeId,
        ownZone: options.zone,
        clock,
        random,
        options: options.routing.picker,
    });
    const handleGateway = createGatewayHandler({
        clock,
        logger: createPartLogger("gateway"),
        dialect: dependencies.dialects.caller,
        callerSignals,
        chooseService: createServiceChooser(random),
        estimateWaited: createCallerPatience(),
        view,
        findTargets: createTargetLookup({
            clock,
            directory: dependencies.directory,
            firstLookupMs: requests.firstLookupMs,
        }),
        router: createRouter(dependencies, picker),
        findOwnerRouter: options.keyOwnership.enabled ?
            createOwnerRouting({ clock, partitions: options.keyOwnership.partitions }) :
            () => undefined,
        send: createSendToGate({
            clock,
            pools,
            ownNodeId: options.nodeId,
            serveLocally: serve,
            localLoad: load,
            nextAttemptId: () => {
                attempts++;
                return `${options.nodeId}-${bootId}-${attempts}`;
            },
            connectionsPerNode: requests.connectionsPerNode,
            gateSilenceMs: requests.gateSilenceMs,
            bodySilenceMs: requests.bodySilenceMs,
            logSilence: createSilenceLog(clock, createPartLogger("gateway")),
        }),
        catchUp: lag.catchUp,
        closed: (callingService) =>
            findClosure(
                dependencies.readiness,
                callingService !== undefined && dependencies.callerService === undefined,
                options.stop.lingerMs,
                random,
            ),
        callerAt: createCallerLookup(dependencies, target),
        maxBodyBytes: requests.maxBodyBytes,
        noteUnserved: unservedCalls.note,
        countRequest: (end, duration, kind) => {
            metrics.countRequest("gateway", end, duration);
            tallyEnd(tally, "gateway", kind, end, duration);
        },
        logFailure: createLog(dependencies),
    });
    return {
        target,
        claims,
        claimSweeper,
        pools,
        handleGate,
        handleGateway,
        giveUpAll: callerSignals.giveUpAll,
        hasSubstitute,
        knowsOwnTarget: dependencies.callerService === undefined,
    };
};
