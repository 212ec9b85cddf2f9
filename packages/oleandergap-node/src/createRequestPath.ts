/** Wires the request path: gateway, target selection, gate, claims and target. */
import type { Milliseconds } from "oleandergap-types";
import { createGatePath, createTarget } from "./gate/createGatePath.js";
import { createUnservedCalls } from "./gate/unservedCalls.js";
import { createGatewayPath, createPicker } from "./gateway/createGatewayPath.js";
import { createConnectionPools, type ConnectionPools } from "./http/connectionPools.js";
import { startEventLoopLagMonitor } from "./http/eventLoopLag.js";
import { createOpenRequests } from "./http/openRequests.js";
import { createReadAheadBudget } from "./http/readAhead.js";
import type { HandleArrival } from "./http/listener.js";
import { createOverloadMonitor, type OverloadMonitor, type RequestSender } from "./overload/overloadMonitor.js";
import { createProcessLoadReader } from "./overload/processLoad.js";
import type { RequestPath, RequestPathDependencies } from "./requestPathTypes.js";
import { createLocalService } from "./target/localService.js";

const createPools = ({ options: { requests }, clock }: RequestPathDependencies): ConnectionPools =>
    createConnectionPools({
        clock,
        connectTimeoutMs: requests.connectTimeoutMs,
        idleMs: requests.idleConnectionMs,
        poolIdleMs: requests.poolIdleMs,
    });

const createPauseLog = ({ createPartLogger }: RequestPathDependencies): (lagMs: Milliseconds) => void => {
    const logger = createPartLogger("node");
    return (lagMs) => logger.warn("The event loop lagged.", { lagMs: Math.round(lagMs) });
};

const countRequests = (
    { recordRequest }: Pick<OverloadMonitor, "recordRequest">,
    sender: RequestSender,
    handle: HandleArrival,
): HandleArrival => (request, response, arrival) => {
    recordRequest(sender);
    handle(request, response, arrival);
};

/** Creates the gateway and the gate of a node. Background work ends when the signal aborts. */
export const createRequestPath = (dependencies: RequestPathDependencies): RequestPath => {
    const { clock, signal } = dependencies;
    const pools = createPools(dependencies);
    const onPause = createPauseLog(dependencies);
    const { catchUp, recentLag, pausedTime } = startEventLoopLagMonitor({ clock, onPause }, signal);
    const overloadMonitor = createOverloadMonitor({
        clock,
        backgroundClock: dependencies.backgroundClock,
        logger: dependencies.createPartLogger("node"),
        readProcessLoad: createProcessLoadReader(),
    });
    overloadMonitor.start(signal);
    const target = createTarget(dependencies, pausedTime);
    const openRequests = { gateway: createOpenRequests(clock), gate: createOpenRequests(clock) };
    const readAheadBudget = createReadAheadBudget();
    const unservedCalls = createUnservedCalls(clock);
    const localService = createLocalService(dependencies, target);
    const picker = createPicker(dependencies, target);
    const gate = createGatePath(dependencies, {
        pools,
        target,
        localService,
        loadExchange: picker,
        catchUp,
        recentLag,
        isFailureExplained: unservedCalls.explain,
        openRequests: openRequests.gate,
        overloadMonitor,
        readAheadBudget,
    });
    const handleGateway = createGatewayPath(dependencies, {
        pools,
        target,
        gate,
        picker,
        openRequests: openRequests.gateway,
        catchUp,
        recordUnserved: unservedCalls.note,
        overloadMonitor,
        readAheadBudget,
    });
    return {
        target,
        claims: gate.claims,
        claimSweeper: gate.claimSweeper,
        pools,
        describeTargets: picker.targets,
        handleGate: countRequests(overloadMonitor, "Node", gate.handleGate),
        handleGateway: countRequests(overloadMonitor, "Caller", handleGateway),
        isDivertingCallers: overloadMonitor.isDiverting,
        openRequests,
        hasSubstitute: localService.hasSubstitute,
    };
};
