/** Gates and listeners of a node for the tests of this package. */
import * as either from "fp-ts/lib/Either.js";
import { createGate, defaultGateOptions } from "oleandergap-gate";
import type { ClaimManager, ClaimRequest, ClaimResult } from "oleandergap-idempotency";
import { createLogger } from "oleandergap-logger";
import { createIsolatedRollouts, type Rollouts } from "oleandergap-rollout";
import type { LoadExchange } from "oleandergap-routing";
import { createMemoryTableService } from "oleandergap-platform";
import type { Announcement, Clock, Limit, MemberTarget } from "oleandergap-types";
import { createContainment, defaultContainmentOptions, type Containment } from "oleandergap-containment";
import type { RecordAbandonedRequest } from "../gate/abandonedRequestLog.js";
import { createRolloutObserver } from "../gate/rolloutObserver.js";
import { createContainmentGuard } from "../gate/containmentGuard.js";
import { createTargetRunObserver } from "../gate/createTargetRunObserver.js";
import { createGateHandler } from "../gate/gateHandler.js";
import { createOpenRequests } from "../http/openRequests.js";
import type { ServeAtGate } from "../gate/gateRequest.js";
import { createServeAtGate, noTargetRefusal } from "../gate/serveAtGate.js";
import { createConnectionPools, type ConnectionPools } from "../http/connectionPools.js";
import { startListener, type HandleArrival, type Listener, type ListenerOptions } from "../http/listener.js";
import { defaultDialects } from "../http/dialect.js";
import { createReadAheadBudget } from "../http/readAhead.js";
import type { StopAdmission } from "../stop/stopAdmission.js";
import { describeFeedback } from "../target/localTarget.js";
import { createLocalTargetManager, type LocalTargetManager } from "../target/localTargetManager.js";
import { LOOPBACK, type Cleanup } from "./loopback.js";

export * from "./loopback.js";

export const startTestListener = async (
    cleanup: Cleanup,
    clock: Clock,
    handle: HandleArrival,
    options: Partial<Pick<ListenerOptions, "turns" | "maxConnections">> = {},
): Promise<Listener> => {
    const listener = await startListener({
        name: "test", address: LOOPBACK, port: 0, maxConnections: 1000, clock, handle, ...options,
    })();
    if (either.isLeft(listener)) {
        throw new Error(listener.left.detail);
    }
    cleanup(() => listener.right.destroy());
    return listener.right;
};

type Claims = Pick<ClaimManager, "claim">;

/** A claim manager that records its calls, and the recorded events in order. */
export interface RecordedClaims {
    readonly claims: Claims;
    readonly events: string[];
}

/** Creates a claim manager that grants every claim unless `selectResult` returns another result. */
export const createRecordedClaims = (
    selectResult: (request: ClaimRequest) => ClaimResult | undefined = () => undefined,
): RecordedClaims => {
    const events: string[] = [];
    const record = (event: string) => (): void => {
        events.push(event);
    };
    const claims: Claims = {
        claim: async (request) => {
            events.push(`claim ${request.key}`);
            return selectResult(request) ?? either.right({
                kind: "Granted",
                claim: {
                    attemptId: "attempt",
                    mayStart: () => true,
                    complete: (summary) => {
                        events.push(`complete ${summary.status} ${Buffer.from(summary.body ?? []).toString()}`);
                    },
                    release: record("release"),
                    leaveOpen: record("leaveOpen"),
                },
            });
        },
    };
    return { claims, events };
};

export const TEST_LIMIT: Limit = { concurrency: 100, queue: 10, timeoutMs: 5000, retryRatio: 0.2 };

export const createAnnouncement = (port: number, changes: Partial<Announcement> = {}): Announcement => ({
    partner: "halloway",
    service: "grant-filer",
    address: LOOPBACK,
    port,
    slots: 12,
    connections: 120,
    leaving: false,
    ...changes,
});

/** Creates the containment of a node that has no connection to other nodes. */
export const createIsolatedContainment = <Peer = never>(
    clock: Clock,
    nodeId = "lone",
): Containment<Peer> => createContainment<Peer>({
    nodeId,
    bootId: "boot",
    clock,
    random: () => 0,
    logger: createLogger("test"),
    options: defaultContainmentOptions,
    network: {
        members: () => [],
        contacts: () => [],
        isInSameZone: () => true,
        isFirstInZone: () => true,
        send: () => undefined,
    },
    tableService: createMemoryTableService(),
    signal: new AbortController().signal,
});

export interface GateHarness {
    readonly port: number;
    readonly listener: Listener;
    readonly serve: ServeAtGate;
    readonly targetManager: LocalTargetManager;
    readonly pools: ConnectionPools;
    readonly published: (MemberTarget | undefined)[];
}

export interface GateHarnessOptions {
    readonly clock: Clock;
    readonly limit?: Limit;
    readonly claims?: Claims;
    readonly containment?: Containment<never>;
    readonly rollouts?: Rollouts<never>;
    /** See `EventLoopLagMonitor`; 0 by default. */
    readonly recentLag?: () => number;
    readonly recordSenderLoad?: (header: string | undefined) => void;
    /**
     * Resolves when pending input has been read; undefined if the event loop does not lag. See `EventLoopLagMonitor`.
     */
    readonly catchUp?: () => Promise<void> | undefined;
    readonly turns?: ListenerOptions["turns"];
    readonly stopAdmission?: StopAdmission;
    readonly loadExchange?: LoadExchange;
    readonly recordAbandonedRequest?: RecordAbandonedRequest;
}

const COLD_START_MS = 10_000;

/** Starts a node's gate on the loopback interface. It has no target until one is announced. */
export const startGate = async (cleanup: Cleanup, options: GateHarnessOptions): Promise<GateHarness> => {
    const { clock, limit = TEST_LIMIT, claims = createRecordedClaims().claims, catchUp = () => undefined } = options;
    const published: (MemberTarget | undefined)[] = [];
    const pools = createConnectionPools({ clock, connectTimeoutMs: 500, idleMs: 4000, poolIdleMs: 60_000 });
    cleanup(() => pools.destroy());
    const targetManager = createLocalTargetManager({
        clock,
        logger: createLogger("test"),
        publish: (target) => published.push(target),
        findLimit: () => limit,
        createGate: (initial, slots) => createGate({ clock, limit: initial, slots, options: defaultGateOptions }),
        heartbeatTimeoutMs: 3000,
        leavingQueueMs: 1000,
        slowStartMs: COLD_START_MS,
    });
    const {
        containment = createIsolatedContainment(clock),
        rollouts = createIsolatedRollouts({ clock, tableService: createMemoryTableService() }),
    } = options;
    const serve = createContainmentGuard(clock, containment, createServeAtGate({
        clock,
        pools,
        currentTarget: targetManager.current,
        claims,
        dialect: defaultDialects.target,
        maxAnswerBytes: 1024,
        minInactivityTimeoutMs: 1000,
        bodySilenceMs: 30_000,
        observeRun: createTargetRunObserver({
            clock,
            containment,
            createPartLogger: createLogger,
            target: targetManager,
        }),
        rolloutObserver: createRolloutObserver({ clock, rollouts, coldStartMs: COLD_START_MS }),
        catchUp,
        ...options.stopAdmission === undefined ? {} : { stopAdmission: options.stopAdmission },
    }));
    const listener = await startTestListener(cleanup, clock, createGateHandler({
        clock,
        logger: createLogger("test"),
        openRequests: createOpenRequests(clock),
        readCallerRequestId: defaultDialects.caller.readRequestId,
        countRequest: () => undefined,
        recordAbandonedRequest: options.recordAbandonedRequest ?? (() => undefined),
        serve,
        refuseOverdue: (request) => targetManager.current()?.gate.refuseOverdue(request) ?? noTargetRefusal,
        recordSenderLoad: options.recordSenderLoad ?? (() => undefined),
        load: () => targetManager.current()?.gate.load(),
        admissionShare: (priority) => targetManager.current()?.gate.admissionShare(priority),
        loadExchange: options.loadExchange ?? { shareLoads: () => [], recordSharedLoads: () => undefined },
        feedback: () => describeFeedback(targetManager.current()),
        maxBodyBytes: 64 * 1024 * 1024,
        readAheadBudget: createReadAheadBudget(),
        usualTimeoutMs: 5000,
        recentLag: options.recentLag ?? (() => 0),
    }), { turns: options.turns });
    return { port: listener.port, listener, serve, targetManager, pools, published };
};

/** Returns the headers that a node sends with a request to a gate. */
export const createGateHeaders = (changes: Readonly<Record<string, string>> = {}): Record<string, string> => ({
    host: "grant-filer.halloway",
    "oleandergap-service": "halloway/grant-filer",
    "oleandergap-request-id": "attempt-1",
    ...changes,
});
