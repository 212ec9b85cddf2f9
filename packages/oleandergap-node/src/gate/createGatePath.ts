/** Wires what happens to a request at the gate: claims, admission, the own target. */
import { createGate } from "oleandergap-gate";
import { createClaimSweeper, type ClaimSweeper } from "oleandergap-idempotency";
import type { Clock, GateLoad } from "oleandergap-types";
import { createRequestTally, type RequestTally } from "../admin/requestTally.js";
import { tallyEnd } from "../admin/tallyEnd.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { HandleArrival } from "../http/listener.js";
import type { LoopLag } from "../http/loopLag.js";
import { toRequestEnd } from "../http/requestEnd.js";
import type { RequestPathDependencies } from "../requestPathTypes.js";
import { findRow, type OwnService } from "../target/ownService.js";
import { createTargetKeeper, type TargetKeeper } from "../target/targetKeeper.js";
import { createCarefulServe } from "./carefulServe.js";
import { createClaims, type Claims } from "./createClaims.js";
import { createGateHandler } from "./gateHandler.js";
import type { ServeAtGate } from "./gateRequest.js";
import { createRunWatch } from "./createRunWatch.js";
import { createServeAtGate } from "./serveAtGate.js";
import type { UnservedCalls } from "./unservedCalls.js";

/** What the gate shares with the gateway. */
export interface GatePathParts {
    readonly pools: ConnectionPools;
    readonly target: TargetKeeper;
    readonly ownService: OwnService;
    readonly catchUp: LoopLag["catchUp"];
    readonly explainFailure: UnservedCalls["explain"];
}

/** The gate of a node. */
export interface GatePath {
    readonly claims: Claims;
    readonly claimSweeper: ClaimSweeper;
    /** Of all requests of the node. */
    readonly tally: RequestTally;
    /** Undefined while there is no target. */
    readonly load: () => GateLoad | undefined;
    readonly serve: ServeAtGate;
    /** Requests of other nodes. */
    readonly handleGate: HandleArrival;
}

/** Keeps the own target, with a gate in front of it. */
export const createTarget = ({
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

/** Sums up all that arrives at the gate, from other nodes and from this one. */
const tallyGate = (clock: Clock, tally: RequestTally, serve: ServeAtGate): ServeAtGate => async (request) => {
    const startedAt = clock.monotonic();
    const outcome = await serve(request);
    tallyEnd(tally, "gate", request.kind, toRequestEnd(outcome), clock.monotonic() - startedAt);
    return outcome;
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

const createOwnClaims = (
    { options, clock, random, bootId, createPartLogger, tableService, signal }: RequestPathDependencies,
    { services, listMembers }: OwnService,
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

/** Creates the gate; its tally runs until the signal aborts. */
export const createGatePath = (dependencies: RequestPathDependencies, parts: GatePathParts): GatePath => {
    const { options: { claims: claimOptions, requests }, clock, backgroundClock, createPartLogger } = dependencies;
    const { pools, target, ownService, catchUp, explainFailure } = parts;
    const claims = createOwnClaims(dependencies, ownService);
    const claimSweeper = createSweeper(dependencies, ownService.services);
    const load = (): GateLoad | undefined => target.current()?.gate.load();
    const tally = createRequestTally({ clock: backgroundClock, logger: createPartLogger("request"), load });
    tally.start(dependencies.signal);
    const { containment } = dependencies;
    const serveAtTarget = createServeAtGate({
        clock,
        pools,
        claims,
        dialect: dependencies.dialects.target,
        currentTarget: target.current,
        maxAnswerBytes: claimOptions.maxAnswerBytes,
        minSilenceMs: requests.targetSilenceMs,
        bodySilenceMs: requests.bodySilenceMs,
        explainFailure,
        watchRun: createRunWatch({ clock, containment, createPartLogger, target }),
        catchUp,
    });
    const serve = tallyGate(clock, tally, createCarefulServe(clock, containment, serveAtTarget));
    const handleGate = createGateHandler({
        clock,
        logger: createPartLogger("gate"),
        serve,
        load,
        maxBodyBytes: requests.maxBodyBytes,
        usualTimeoutMs: requests.usualTimeoutMs,
        countRequest: (end, duration) => dependencies.metrics.countRequest("gate", end, duration),
    });
    return { claims, claimSweeper, tally, load, serve, handleGate };
};
