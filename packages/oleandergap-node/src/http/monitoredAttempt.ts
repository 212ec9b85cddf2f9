/**
 * One attempt of a request: it is aborted at the deadline, by its signal, or after a longer time without a heartbeat of
 * the remote side.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { RequestTransport } from "oleandergap-transport";
import type { Clock, Milliseconds, RefusalReason, RequestFailure } from "oleandergap-types";
import type { UpstreamResponse } from "./upstreamResponse.js";
import { startExchange, type Exchange } from "./exchange.js";
import { getAbortCause } from "./openRequests.js";
import { startProgressMonitor, type ProgressMonitor } from "./progressMonitor.js";
import type { RequestBody } from "./requestBody.js";

export interface MonitoredRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly body: RequestBody;
    /** See `ExchangeRequest`. */
    readonly mayStart?: () => boolean;
    /** See `ExchangeRequest`. */
    readonly requireId: boolean;
    readonly awaitAdmission: boolean;
    /** Maximum time between two chunks of the response body. */
    readonly bodySilenceMs: Milliseconds;
    /** Returns the transport to the target; called once for each attempt. */
    readonly getTransport: () => RequestTransport;
    /** Replaces the connections, so that later requests use new ones. */
    readonly replaceConnections: () => void;
    /** Returns the request headers, including the id of one attempt. */
    readonly createHeaders: (requestId: string) => string[];
    readonly nextRequestId: () => string;
    /** See `ExchangeRequest`. */
    readonly responseIdHeader: string;
    /** Returns the id that the response to an attempt must carry; undefined when any id is accepted. */
    readonly getResponseId: (requestId: string) => string | undefined;
    /**
     * Returns the failure that a response represents, such as a refusal; undefined when it is the response to the
     * request.
     */
    readonly readFailure: (response: UpstreamResponse) => RequestFailure | undefined;
    /**
     * Monotonic time at which the request is aborted unless a response has begun. A response that has begun must be
     * complete shortly after it.
     */
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
    /**
     * Inactivity timeout: time without any heartbeat after which the request is sent again; undefined when only the
     * deadline applies.
     */
    readonly silenceMs: Milliseconds | undefined;
    /** Time without any heartbeat after which an attempt of an idempotent request is aborted; at least `silenceMs`. */
    readonly connectionLossMs: Milliseconds | undefined;
    readonly idempotent: boolean;
    /** Called for each heartbeat. */
    readonly onHeartbeat?: () => void;
    /**
     * Called immediately each time the inactivity timeout expires; returns true if another attempt at the same target
     * is pointless.
     */
    readonly onInactivity?: (report: InactivityReport) => boolean;
    /** Called when an attempt is aborted because its connection counts as lost. */
    readonly onLoss?: (report: InactivityReport) => void;
}

/** Describes an expiry of the inactivity timeout: the remote side has sent no heartbeat within the timeout. */
export interface InactivityReport {
    /** Whether the connection counts as lost, so that the attempt is aborted; otherwise the attempt continues. */
    readonly isLost: boolean;
    /** Time since the attempt was sent. */
    readonly sinceSentMs: Milliseconds;
    /** Number of heartbeats received in this attempt. */
    readonly signs: number;
    /** See `ProgressMonitorOptions.onInactivity`. */
    readonly lateMs: Milliseconds;
}

/** Outcome of an attempt. */
export type AttemptOutcome = Either<RequestFailure, UpstreamResponse>;

/**
 * An attempt that continues after its inactivity timeout, until a response arrives or the connection counts as lost.
 */
export interface PendingAttempt {
    /** Never rejects. */
    readonly outcome: Promise<AttemptOutcome>;
    readonly cancel: () => void;
}

/** Time after the deadline within which a response that has begun may still end, if its last bytes are on the way. */
const BODY_GRACE_MS: Milliseconds = 200;

type EndReason = "Open" | "DeadlinePassed" | "Cancelled" | "NodeStopping" | "Silent";

/** An attempt that was started. */
export interface MonitoredAttempt extends PendingAttempt {
    /** Resolves when the inactivity timeout expires for the first time; never settles if it does not expire. */
    readonly silence: Promise<"Silent">;
    readonly hasEnded: () => boolean;
    /** Returns whether the target had already been unresponsive before, so that the connection is not at fault. */
    readonly isPointless: () => boolean;
}

export const ABORT_DETAILS: Readonly<Record<Exclude<EndReason, "Open">, string>> = {
    DeadlinePassed: "the deadline passed",
    Cancelled: "the caller went away",
    NodeStopping: "the node stops",
    Silent: "the connection was silent",
};

/** Reasons of refusals for requests that were aborted before they were sent, if not `Cancelled`. */
const UNSENT_REASONS: Readonly<Partial<Record<EndReason, RefusalReason>>> = {
    DeadlinePassed: "DeadlinePassed",
    NodeStopping: "Draining",
};

/** Sets the reason of a request that was aborted before it was sent, unless its caller disconnected. */
const applyEndReason = (outcome: AttemptOutcome, endReason: EndReason): AttemptOutcome => {
    const isUnsent = either.isLeft(outcome) && outcome.left.kind === "Refused";
    const reason = UNSENT_REASONS[endReason];
    return isUnsent && reason !== undefined ?
        either.left({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 0 }) :
        outcome;
};

/**
 * Returns the time after which a connection counts as lost. A non-idempotent request waits until its deadline, because
 * it is unknown whether the request arrived.
 */
const getLossTimeout = ({ idempotent, connectionLossMs }: MonitoredRequest): Milliseconds =>
    idempotent && connectionLossMs !== undefined ? connectionLossMs : Number.POSITIVE_INFINITY;

/** Starts an attempt, which is aborted once it has received no heartbeat for the loss timeout. */
export const startAttempt = (clock: Clock, request: MonitoredRequest): MonitoredAttempt => {
    const { signal } = request;
    const lossMs = getLossTimeout(request);
    let endReason: EndReason = "Open";
    let hasEnded = false;
    let isPointless = false;
    let heartbeats = 0;
    let isInactive = false;
    const sentAt = clock.monotonic();
    let lastHeartbeatAt = sentAt;
    let resolveInactivity: (inactivity: "Silent") => void = () => undefined;
    const inactivity = new Promise<"Silent">((resolve) => {
        resolveInactivity = resolve;
    });

    const end = (reason: Exclude<EndReason, "Open">): void => {
        if (endReason === "Open") {
            endReason = reason;
            exchange.abort(ABORT_DETAILS[reason]);
        }
    };
    const cancel = (): void => end("Cancelled");
    const onAbort = (): void => end(getAbortCause(signal) === "NodeStopping" ? "NodeStopping" : "Cancelled");
    const onInactivity = (lateMs: Milliseconds): void => {
        const now = clock.monotonic();
        const isLost = now - lastHeartbeatAt >= lossMs;
        const inactivityReport: InactivityReport = { isLost, sinceSentMs: now - sentAt, signs: heartbeats, lateMs };
        if (isLost) {
            request.onLoss?.(inactivityReport);
            end("Silent");
        }
        if (!isInactive) {
            isInactive = true;
            request.replaceConnections();
            isPointless = request.onInactivity?.(inactivityReport) ?? false;
            resolveInactivity("Silent");
        }
    };

    const monitor: ProgressMonitor = startProgressMonitor({
        clock,
        deadline: request.deadline,
        silenceMs: request.silenceMs,
        onDeadline: () => end("DeadlinePassed"),
        onInactivity,
    });
    const requestId = request.nextRequestId();
    const exchange: Exchange = startExchange({
        transport: request.getTransport(),
        method: request.method,
        path: request.path,
        headers: request.createHeaders(requestId),
        body: request.body,
        mayStart: request.mayStart,
        responseIdHeader: request.responseIdHeader,
        responseId: request.getResponseId(requestId),
        requireId: request.requireId,
        awaitAdmission: request.awaitAdmission,
        bodyLimits: { bodySilenceMs: request.bodySilenceMs, bodyDeadline: request.deadline + BODY_GRACE_MS },
        onInformationalResponse: () => {
            monitor.recordActivity();
            heartbeats += 1;
            isInactive = false;
            lastHeartbeatAt = clock.monotonic();
            request.onHeartbeat?.();
        },
    });
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) {
        onAbort();
    }

    const outcome = exchange.outcome.then((settled) => {
        hasEnded = true;
        monitor.stop();
        signal.removeEventListener("abort", onAbort);
        return applyEndReason(settled, endReason);
    });
    return { outcome, cancel, silence: inactivity, hasEnded: () => hasEnded, isPointless: () => isPointless };
};
