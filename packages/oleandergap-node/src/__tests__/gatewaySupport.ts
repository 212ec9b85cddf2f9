/** Test support: a gateway on loopback in front of gates on loopback, with a table of one service. */
import { createUnlimitedQuota, type Quota } from "oleandergap-customers";
import * as either from "fp-ts/lib/Either.js";
import type { Containment } from "oleandergap-containment";
import { createLogger } from "oleandergap-logger";
import type { TargetMember } from "oleandergap-membership";
import { createRequestRouter, createTargetPicker } from "oleandergap-routing";
import type { Clock, Customer, PartnerTable, ServiceRow, TableView } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import type { AdmissionRefusal } from "../admin/readiness.js";
import { createGatewayHandler, type GatewayHandlerDependencies } from "../gateway/gatewayHandler.js";
import { createFeedbackMemory } from "../gateway/feedbackMemory.js";
import type { FindOwnerRouter } from "../gateway/ownerRouting.js";
import { createCustomerIdentification } from "../gateway/customerIdentification.js";
import { createKeyHolderLookup } from "../gateway/customerKeys.js";
import { createElapsedWaitEstimator } from "../gateway/elapsedWaitEstimator.js";
import { createRequestContainment } from "../gateway/requestContainment.js";
import { createServiceChooser } from "../gateway/routeTable.js";
import type { LogUnresponsiveGate } from "../gateway/unresponsiveGateLog.js";
import { createSendToGate } from "../gateway/sendToGate.js";
import { defaultDialects, type CallerDialect } from "../http/dialect.js";
import { createOpenRequests, type OpenRequests } from "../http/openRequests.js";
import { createConnectionPools } from "../http/connectionPools.js";
import type { Listener, ListenerOptions } from "../http/listener.js";
import { createReadAheadBudget } from "../http/readAhead.js";
import { createIsolatedContainment, LOOPBACK, startTestListener, TEST_LIMIT, type Cleanup } from "./support.js";

export const HOST = "grant-filer.halloway";

export const createRow = (changes: Partial<ServiceRow> = {}): ServiceRow => ({
    service: "grant-filer",
    weights: new Map([["hall-a", 1]]),
    limitName: "filing",
    limit: TEST_LIMIT,
    idempotency: "optional",
    placement: "weights",
    ...changes,
});

export const createTable = (row: ServiceRow, sequence = 7): PartnerTable => ({
    head: { partner: "halloway", sequence, digest: "0".repeat(64) },
    services: new Map([[row.service, row]]),
    zones: new Set(["hall-a"]),
    routes: new Map(),
});

export const createView = (row: ServiceRow, sequence = 7): TableView =>
    new Map([["halloway", createTable(row, sequence)]]);

export const createMember = (nodeId: string, gatePort: number): TargetMember => ({
    nodeId,
    zone: "hall-a",
    address: LOOPBACK,
    gatePort,
    slots: 12,
    leaving: false,
    since: 0,
});

export interface GatewayOptions {
    readonly clock: Clock;
    readonly targets: readonly TargetMember[];
    readonly row?: ServiceRow;
    readonly view?: () => TableView;
    readonly closed?: () => AdmissionRefusal | undefined;
    readonly maxBodyBytes?: number;
    readonly openRequests?: OpenRequests;
    readonly findOwnerRouter?: FindOwnerRouter;
    readonly gateSilenceMs?: number;
    readonly logUnresponsiveGate?: LogUnresponsiveGate;
    readonly containment?: Containment<never>;
    readonly splitTargets?: GatewayHandlerDependencies["splitTargets"];
    readonly dialect?: CallerDialect;
    /** See `CustomerIdentificationDependencies`. */
    readonly mayBeLocalTarget?: () => boolean;
    readonly recordUnserved?: () => void;
    readonly logFailure?: GatewayHandlerDependencies["logFailure"];
    readonly quota?: Quota;
    /** Returns the customer of every request, in place of the one that its key names. */
    readonly identifyCustomer?: () => Customer | undefined;
    readonly turns?: ListenerOptions["turns"];
    /** See `SendToGateDependencies`. */
    readonly endsAt?: () => number | undefined;
    readonly describeOwnLoad?: (nodeId: string) => string | undefined;
}

/** Starts the gateway of a node. None of the targets belongs to that node. */
export const startGateway = (cleanup: Cleanup, options: GatewayOptions): Promise<Listener> => {
    const { clock, targets, row = createRow(), closed = () => undefined } = options;
    const view = createView(row);
    const dialect = options.dialect ?? defaultDialects.caller;
    const pools = createConnectionPools({ clock, connectTimeoutMs: 500, idleMs: 4000, poolIdleMs: 60_000 });
    cleanup(() => pools.destroy());
    let attempts = 0;
    const picker = createTargetPicker<TargetMember>({ localZone: "hall-a", clock, random: createSeededRandom(1) });
    return startTestListener(cleanup, clock, createGatewayHandler({
        clock,
        logger: createLogger("test"),
        dialect,
        openRequests: options.openRequests ?? createOpenRequests(clock),
        chooseService: createServiceChooser(createSeededRandom(1)),
        elapsedWait: createElapsedWaitEstimator(),
        identifyCustomer: options.identifyCustomer === undefined ?
            createCustomerIdentification({
                readCustomerKey: dialect.readCustomerKey,
                findKeyHolder: createKeyHolderLookup(),
                mayBeLocalTarget: options.mayBeLocalTarget ?? (() => false),
            }) :
            () => either.right(options.identifyCustomer?.()),
        view: options.view ?? (() => view),
        findTargets: () => targets,
        splitTargets: options.splitTargets ?? (() => undefined),
        router: createRequestRouter({ clock, picker }),
        findOwnerRouter: options.findOwnerRouter ?? (() => undefined),
        send: createSendToGate({
            clock,
            pools,
            localNodeId: "gateway",
            localZone: "hall-a",
            loadExchange: picker,
            localAdmissionShare: () => undefined,
            serveLocally: () => Promise.reject(new Error("there is no local target")),
            localLoad: () => undefined,
            nextAttemptId: () => `attempt-${++attempts}`,
            connectionsPerNode: 8,
            gateSilenceMs: options.gateSilenceMs ?? 500,
            bodySilenceMs: 30_000,
            logUnresponsiveGate: options.logUnresponsiveGate ?? (() => undefined),
            feedbackMemory: createFeedbackMemory(),
            endsAt: options.endsAt ?? (() => undefined),
            describeOwnLoad: options.describeOwnLoad ?? (() => undefined),
        }),
        createRequestContainment: createRequestContainment(options.containment ?? createIsolatedContainment(clock)),
        quota: options.quota ?? createUnlimitedQuota(clock),
        closed,
        findStopRefusal: () => undefined,
        recordDuration: () => undefined,
        findCallingService: () => undefined,
        maxBodyBytes: options.maxBodyBytes ?? 64 * 1024 * 1024,
        readAheadBudget: createReadAheadBudget(),
        recordUnserved: options.recordUnserved ?? (() => undefined),
        countRequest: () => undefined,
        logFailure: options.logFailure ?? (() => undefined),
    }), { turns: options.turns });
};
