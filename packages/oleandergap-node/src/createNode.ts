/** Constructs and wires all parts of a node. See `nodeLifecycle.ts` for how they start and stop. */
import { setMaxListeners } from "node:events";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { createLogger } from "oleandergap-logger";
import type { ReadFleetKeys } from "oleandergap-membership";
import type { LocalTargetState } from "oleandergap-rollout";
import type { Clock, MemberTarget } from "oleandergap-types";
import { createBackgroundClock } from "oleandergap-utils";
import { defaultAdapters, type NodeAdapters } from "./adapters.js";
import { createAdminHandler } from "./admin/adminHandler.js";
import { addNodeGauges } from "./admin/gauges.js";
import { createNodeMetrics } from "./admin/metrics.js";
import { createReadinessState, describeReadiness, type Readiness } from "./admin/readiness.js";
import { createControlHandler } from "./control/controlHandler.js";
import { createNodeRoutes } from "./control/nodeRoutes.js";
import { createPeerAccess } from "./control/peerAccess.js";
import { createControlPlane } from "./createControlPlane.js";
import { createRequestPath } from "./createRequestPath.js";
import { getColdTimeLeft } from "./gate/rolloutObserver.js";
import type { ListenError } from "./http/listener.js";
import { createNodeLifecycle } from "./nodeLifecycle.js";
import type { NodeOptions } from "./options.js";
import type { RequestPath } from "./requestPathTypes.js";
import type { LocalTarget } from "./target/localTarget.js";
import { openProcessorProfile } from "./profile/openProcessorProfile.js";

export interface NodeDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** Reads the fleet's keys. If undefined, every caller at the control port is treated as a node of the fleet. */
    readonly readKeys: ReadFleetKeys | undefined;
    readonly adapters?: NodeAdapters;
    /** Aborting it stops everything immediately. */
    readonly signal: AbortSignal;
}

export interface Node {
    /** Starts the listeners and joins the other nodes. The configuration is recovered in the background. */
    readonly start: () => TaskEither<ListenError, void>;
    /**
     * Stops the node without interrupting requests, unless the drain timeout in the settings passes. May be called
     * while the node is starting.
     */
    readonly stop: () => Promise<void>;
}

/** Returns the local target as far as roll-outs need it; undefined if it announced no version. */
const describeLocalTarget = (
    target: LocalTarget | undefined,
    clock: Clock,
    { routing }: NodeOptions,
): LocalTargetState | undefined => {
    const version = target?.announcement.version;
    if (target === undefined || version === undefined) {
        return undefined;
    }
    const { partner, service, slots } = target.announcement;
    return {
        service: { partner, service },
        version,
        slots: target.leaving ? 0 : slots,
        inFlight: target.gate.load().inFlight,
        coldLeftMs: getColdTimeLeft(target, clock, routing.picker.slowStartMs),
    };
};

const BASE_36 = 36;
/**
 * Interval at which a node performs periodic work. It equals the interval of the most frequent periodic task, so no
 * task runs less often than it should. Versions and requests never wait for this interval.
 */
const BACKGROUND_INTERVAL_MS = 100;

export const createNode = ({
    options,
    clock,
    readKeys,
    adapters = defaultAdapters,
    signal,
}: NodeDependencies): Node => {
    // Each part of a node adds a listener to this signal. Their number is bounded, so it is no leak.
    setMaxListeners(0, signal);
    const backgroundClock = createBackgroundClock(clock, BACKGROUND_INTERVAL_MS);
    const random = Math.random;
    const bootId = `${Math.floor(clock.now()).toString(BASE_36)}${Math.floor(random() * 1e6).toString(BASE_36)}`;
    const readiness = createReadinessState();
    const metrics = createNodeMetrics();
    const platform = adapters.openPlatform({ options, clock, logger: createLogger("platform"), signal });
    const { tableService, objectStore } = platform;
    const peerAccess = createPeerAccess({ listen: options.listen, readKeys });
    const shared = {
        options,
        bootId,
        clock,
        backgroundClock,
        random,
        createPartLogger: createLogger,
        ...platform,
        peerAccess,
        signal,
    };

    const controlPlane = createControlPlane({
        ...shared,
        findLocalTarget: () => describeLocalTarget(requestPath.target.current(), clock, options),
    });
    const { store, membership, directory } = controlPlane;

    let announcedTarget: MemberTarget | undefined;
    /** Publishes the target to other nodes, but only after this node has recovered and can serve requests. */
    const publishTarget = (): void => {
        if (readiness.recovered) {
            membership.setTarget(announcedTarget);
        }
    };
    const requestPath: RequestPath = createRequestPath({
        ...shared,
        dialects: adapters.dialects,
        callerService: adapters.callerService,
        metrics,
        containment: controlPlane.containment,
        rollouts: controlPlane.rollouts,
        quota: controlPlane.quota,
        departures: controlPlane.departures,
        view: store.getTables,
        directory,
        publishTarget: (target) => {
            announcedTarget = target;
            publishTarget();
        },
        readiness,
    });
    store.subscribe(requestPath.target.refreshLimit);
    const { rollouts } = controlPlane;
    platform.subscribeToOrders?.({ onGiven: rollouts.submit, onFound: rollouts.submitFound });
    platform.subscribeToRestores(rollouts.handleRestore);
    openProcessorProfile({ options, clock, logger: createLogger("profile"), signal });
    addNodeGauges(metrics, { controlPlane, requestPath, peerAccess, tableService, objectStore, readiness });

    const describeNodeReadiness = (): Readiness => describeReadiness(readiness, requestPath.isDivertingCallers());

    return createNodeLifecycle({
        options,
        clock,
        backgroundClock,
        logger: createLogger("node"),
        readiness,
        controlPlane,
        requestPath,
        handlers: {
            gateway: requestPath.handleGateway,
            gate: requestPath.handleGate,
            control: createControlHandler(
                createNodeRoutes({ ...shared, controlPlane, requestPath }),
                peerAccess.isNode,
            ),
            admin: createAdminHandler({
                target: requestPath.target,
                readiness: describeNodeReadiness,
                readMetrics: metrics.read,
                logger: createLogger("admin"),
            }),
        },
        additionalListeners: adapters.createListeners({
            target: requestPath.target,
            readiness: describeNodeReadiness,
            createPartLogger: createLogger,
        }),
        onRecovered: publishTarget,
        signal,
    });
};
