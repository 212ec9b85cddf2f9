/** Constructs all parts of a node and wires them. How they start and stop stands in `nodeLifecycle.ts`. */
import { setMaxListeners } from "node:events";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { createLogger } from "oleandergap-logger";
import type { ReadFleetKeys } from "oleandergap-membership";
import type { Clock, MemberTarget } from "oleandergap-types";
import { createBackgroundClock } from "oleandergap-utils";
import { ownAdapters, type NodeAdapters } from "./adapters.js";
import { createAdminHandler } from "./admin/adminHandler.js";
import { addNodeGauges } from "./admin/gauges.js";
import { createNodeMetrics } from "./admin/metrics.js";
import { createReadinessState, describeReadiness } from "./admin/readiness.js";
import { createControlHandler } from "./control/controlHandler.js";
import { createNodeRoutes } from "./control/nodeRoutes.js";
import { createPeerAccess } from "./control/peerAccess.js";
import { createControlPlane } from "./createControlPlane.js";
import { createRequestPath } from "./createRequestPath.js";
import type { ListenError } from "./http/listener.js";
import { createNodeLifecycle } from "./nodeLifecycle.js";
import type { NodeOptions } from "./options.js";
import { openProcessorProfile } from "./profile/openProcessorProfile.js";

export interface NodeDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** Without keys, whoever reaches the control port is taken for a node. */
    readonly readKeys: ReadFleetKeys | undefined;
    readonly adapters?: NodeAdapters;
    /** Ends everything at once when it aborts. */
    readonly signal: AbortSignal;
}

export interface Node {
    /** Listens and joins the other nodes; recovering the configuration goes on in the background. */
    readonly start: () => TaskEither<ListenError, void>;
    /**
     * Leaves without cutting a request off, unless the settings' drain time is over first. May be called while the
     * start is under way.
     */
    readonly stop: () => Promise<void>;
}

const BASE_36 = 36;
/**
 * Distance of the turns in which a node does its periodic work: that of its most frequent duties, so that none comes
 * more seldom. A version or a request never waits for such a turn.
 */
const BACKGROUND_STEP_MS = 100;

export const createNode = ({
    options,
    clock,
    readKeys,
    adapters = ownAdapters,
    signal,
}: NodeDependencies): Node => {
    // Each part of a node listens to this signal; their number is known and does not grow.
    setMaxListeners(0, signal);
    const backgroundClock = createBackgroundClock(clock, BACKGROUND_STEP_MS);
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

    const controlPlane = createControlPlane(shared);
    const { store, membership, directory } = controlPlane;

    let announced: MemberTarget | undefined;
    /** Other nodes hear of the target once this node can serve it. */
    const publishTarget = (): void => {
        if (readiness.recovered) {
            membership.setTarget(announced);
        }
    };
    const requestPath = createRequestPath({
        ...shared,
        dialects: adapters.dialects,
        callerService: adapters.callerService,
        metrics,
        containment: controlPlane.containment,
        view: store.view,
        directory,
        publishTarget: (target) => {
            announced = target;
            publishTarget();
        },
        readiness,
    });
    store.subscribe(requestPath.target.refreshLimit);
    openProcessorProfile({ options, clock, logger: createLogger("profile"), signal });
    addNodeGauges(metrics, { controlPlane, requestPath, peerAccess, tableService, objectStore, readiness });

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
                readiness: () => describeReadiness(readiness),
                readMetrics: metrics.read,
                logger: createLogger("admin"),
            }),
        },
        furtherListeners: adapters.createListeners({
            target: requestPath.target,
            readiness: () => describeReadiness(readiness),
            createPartLogger: createLogger,
        }),
        onRecovered: publishTarget,
        signal,
    });
};
