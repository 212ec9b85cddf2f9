/** Dependencies and interface of the request path. */
import type { Quota } from "oleandergap-customers";
import type { Containment } from "oleandergap-containment";
import type { TargetSummary } from "oleandergap-routing";
import type { Rollouts } from "oleandergap-rollout";
import type { ClaimSweeper } from "oleandergap-idempotency";
import type { Logger } from "oleandergap-logger";
import type { Contact, TargetDirectory } from "oleandergap-membership";
import type { Clock, MemberTarget, ServiceReference, TableService, TableView } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { NodeMetrics } from "./admin/metrics.js";
import type { ReadinessState } from "./admin/readiness.js";
import type { Claims } from "./gate/createClaims.js";
import type { ConnectionPools } from "./http/connectionPools.js";
import type { DepartureLog } from "./departures/departureLog.js";
import type { Dialects } from "./http/dialect.js";
import type { HandleArrival } from "./http/listener.js";
import type { NodeOptions } from "./options.js";
import type { OpenRequestsByPoint } from "./stop/stopLog.js";
import type { LocalTargetManager } from "./target/localTargetManager.js";

export interface RequestPathDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** Clock for periodic work. */
    readonly backgroundClock: Clock;
    readonly random: Random;
    readonly createPartLogger: (part: string) => Logger;
    readonly metrics: NodeMetrics;
    /** Returns the configuration tables in force. */
    readonly view: () => TableView;
    /** Publishes the local target to other nodes; undefined if there is none. */
    readonly publishTarget: (target: MemberTarget | undefined) => void;
    readonly directory: Pick<TargetDirectory, "targetsOf">;
    readonly tableService: TableService;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly containment: Containment<Contact>;
    readonly rollouts: Rollouts<Contact>;
    readonly quota: Quota;
    readonly readiness: Readonly<ReadinessState>;
    /** Stores the departures of the local target. */
    readonly departures: Pick<DepartureLog, "record">;
    readonly dialects: Dialects;
    /** Service of all callers at the gateway, if all of them run on this VM; undefined otherwise. */
    readonly callerService: ServiceReference | undefined;
    readonly signal: AbortSignal;
}

export interface RequestPath {
    readonly target: LocalTargetManager;
    readonly claims: Claims;
    readonly claimSweeper: ClaimSweeper;
    readonly pools: ConnectionPools;
    /** Returns what the gateway estimates of the targets that report their pace. */
    readonly describeTargets: () => readonly TargetSummary[];
    /** Handles requests from other nodes. */
    readonly handleGate: HandleArrival;
    /** Handles requests from callers. */
    readonly handleGateway: HandleArrival;
    /** Returns whether callers should use other nodes; see `CallerDiversion`. */
    readonly isDivertingCallers: () => boolean;
    /** The requests of callers and of other nodes that are in flight. */
    readonly openRequests: OpenRequestsByPoint;
    /** Returns whether another target of the local target's service accepts requests, or there is no local target. */
    readonly hasSubstitute: () => boolean;
}
