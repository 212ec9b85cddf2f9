/** What the way of a request is made from, and what it offers. */
import type { Containment } from "oleandergap-containment";
import type { ClaimSweeper } from "oleandergap-idempotency";
import type { Logger } from "oleandergap-logger";
import type { Contact, TargetDirectory } from "oleandergap-membership";
import type { Clock, MemberTarget, ServiceReference, TableService, TableView } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { NodeMetrics } from "./admin/metrics.js";
import type { ReadinessState } from "./admin/readiness.js";
import type { Claims } from "./gate/createClaims.js";
import type { ConnectionPools } from "./http/connectionPools.js";
import type { Dialects } from "./http/dialect.js";
import type { HandleArrival } from "./http/listener.js";
import type { NodeOptions } from "./options.js";
import type { TargetKeeper } from "./target/targetKeeper.js";

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
    readonly containment: Containment<Contact>;
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
