/** Headers of the requests that a gateway sends to gates. */
import type { TargetMember } from "oleandergap-membership";
import type { LoadExchange } from "oleandergap-routing";
import {
    CUSTOMER_HEADER,
    formatServiceReference,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    TIMEOUT_HEADER,
    type Clock,
    type Milliseconds,
    type ServiceReference,
    type ZoneName,
} from "oleandergap-types";
import { formatShare } from "../http/admissionShareHeader.js";
import { formatFeedback } from "../http/feedbackHeader.js";
import {
    CALLER_HEADER,
    FEEDBACK_HEADER,
    IDEMPOTENT_HEADER,
    KIND_HEADER,
    OBJECTIVE_HEADER,
    PRIORITY_HEADER,
    SENDER_BUSY_HEADER,
    SENDER_STOPS_HEADER,
    SENT_AT_HEADER,
    SENT_SHARE_HEADER,
    SHARED_LOADS_HEADER,
    SUSPECT_HEADER,
} from "../http/headers.js";
import { formatSharedLoads } from "../http/sharedLoadsHeader.js";
import { formatSentAt } from "../http/transitDelay.js";
import type { OverloadMonitor } from "../overload/overloadMonitor.js";
import type { CallerRequest } from "./callerRequest.js";
import type { FeedbackMemory } from "./feedbackMemory.js";

/** What the headers state besides the request. */
export interface GateRequestHeaderDependencies {
    readonly clock: Clock;
    readonly localZone: ZoneName;
    /** Shares the loads of the targets of a service in the local zone with other nodes. */
    readonly loadExchange: LoadExchange;
    readonly feedbackMemory: FeedbackMemory;
    /** Returns the monotonic time at which this node aborts its remaining requests; undefined unless it stops. */
    readonly endsAt: () => Milliseconds | undefined;
    /** Returns what this node reports of its load to another node; undefined if nothing is due. */
    readonly describeOwnLoad: OverloadMonitor["describeLoad"];
}

/** The request of one attempt. */
export interface AttemptedRequest {
    readonly request: CallerRequest;
    readonly caller: ServiceReference | undefined;
    /** See `GateRequest`. */
    readonly isSuspect: boolean;
    /** See `AttemptContext`. */
    readonly sentShare?: number;
    readonly deadline: Milliseconds;
}

/** Returns the header that shares the loads of targets with a node of the same zone. */
const createLoadsHeader = (
    { localZone, loadExchange }: GateRequestHeaderDependencies,
    zone: ZoneName,
    service: ServiceReference,
): readonly string[] => {
    const loads = zone === localZone ? loadExchange.shareLoads(service) : [];
    return loads.length === 0 ? [] : [SHARED_LOADS_HEADER, formatSharedLoads(loads)];
};

/** Returns the header that tells a gate which share of the requests of a kind this node sends. */
const createShareHeaders = (sentShare: number | undefined): readonly string[] => {
    const formatted = formatShare(sentShare);
    return formatted === undefined ? [] : [SENT_SHARE_HEADER, formatted];
};

/** Returns the headers of a request to the gate of a target, as alternating names and values. */
export const createGateRequestHeaders = (
    dependencies: GateRequestHeaderDependencies,
    { nodeId, zone }: TargetMember,
    { request, caller, isSuspect, sentShare, deadline }: AttemptedRequest,
    requestId: string,
): string[] => {
    const { clock } = dependencies;
    const headers = [
        "host", request.host,
        ...request.headers,
        SERVICE_HEADER, formatServiceReference(request.service),
        REQUEST_ID_HEADER, requestId,
        TIMEOUT_HEADER, String(Math.max(0, Math.floor(deadline - clock.monotonic()))),
        IDEMPOTENT_HEADER, request.idempotent ? "yes" : "no",
        PRIORITY_HEADER, String(request.priority),
        KIND_HEADER, request.kind,
        SENT_AT_HEADER, formatSentAt(clock.monotonic()),
    ];
    if (request.objective !== undefined) {
        headers.push(OBJECTIVE_HEADER, String(Math.floor(request.objective - clock.monotonic())));
    }
    headers.push(...createShareHeaders(sentShare));
    if (caller !== undefined) {
        headers.push(CALLER_HEADER, formatServiceReference(caller));
    }
    if (request.customer !== undefined) {
        headers.push(CUSTOMER_HEADER, request.customer.name);
    }
    if (isSuspect) {
        headers.push(SUSPECT_HEADER, "yes");
    }
    headers.push(...createLoadsHeader(dependencies, zone, request.service));
    const endsAt = dependencies.endsAt();
    if (endsAt !== undefined) {
        headers.push(SENDER_STOPS_HEADER, String(Math.floor(endsAt - clock.monotonic())));
    }
    const ownLoad = dependencies.describeOwnLoad(nodeId);
    if (ownLoad !== undefined) {
        headers.push(SENDER_BUSY_HEADER, ownLoad);
    }
    const knownFeedback = dependencies.feedbackMemory.find(nodeId);
    if (knownFeedback !== undefined) {
        headers.push(FEEDBACK_HEADER, formatFeedback(knownFeedback));
    }
    return headers;
};
