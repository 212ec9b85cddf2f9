/**
 * The shares of requests that gates ask this node to send.
 *
 * A gate sees what all nodes send, and knows what its target can run. If each node guessed from its own refusals how
 * much it may send, the guesses would lag by many requests, and a request that calls another service would be started
 * although its call will be refused.
 */
import { MINIMUM_SENT_SHARE, type Clock, type Milliseconds, type NodeId } from "oleandergap-types";

/**
 * Time without any report after which the share grows again. Single reports do not grow, because a node that sends to
 * many gates reaches each one seldom.
 */
const CURRENT_MS: Milliseconds = 250;
/** Time in which a share doubles without new reports. */
const DOUBLING_MS: Milliseconds = 500;
/** Time after which a report is forgotten. A gate that asked for all requests counts for as long. */
const LIFETIME_MS: Milliseconds = 2000;
/** Part of the earlier share to send after a gate was silent. */
const SHARE_AFTER_SILENCE = 0.5;
/** Maximum number of gates whose latest response is known. The one that has not responded for longest is evicted. */
const MAXIMUM_GATES = 1024;
/** Maximum number of kinds with reports. The oldest one is evicted. */
const MAXIMUM_KINDS = 512;

/** A request that was sent to a gate. */
export interface SentRequest {
    readonly sentAt: Milliseconds;
    /** Share of the requests of its kind that was to be sent then, before its division by `AskedRequests`. */
    readonly share: number;
}

interface Report {
    readonly share: number;
    readonly reportedAt: Milliseconds;
}

/** The latest report of each gate about one kind of request. */
type Reports = Map<NodeId, Report>;

/** Shares by kind of request. */
export interface AdmissionShares {
    /** Records the share that a gate asks for, in a response to a request of the kind. */
    readonly recordShare: (kind: string, nodeId: NodeId, share: number) => void;
    /**
     * Records that a gate left a request unanswered. Lowers the share of the kind unless the gate has responded to
     * another request in the meantime: a gate whose node lacks processor time cannot say so.
     */
    readonly recordSilence: (kind: string, nodeId: NodeId, sent: SentRequest) => void;
    /**
     * Returns the share of the requests of a kind to send: the largest that a gate of a present target asks for, since
     * requests go where there is room. 1 without reports.
     */
    readonly getShare: (kind: string, isPresent: (nodeId: NodeId) => boolean) => number;
}

/** Lets a share grow with the time since any gate reported one for the kind. */
const growShare = (share: number, sinceLatestReport: Milliseconds): number =>
    Math.min(1, share * 2 ** (Math.max(0, sinceLatestReport - CURRENT_MS) / DOUBLING_MS));

/** Creates shares without reports. */
export const createAdmissionShares = (clock: Pick<Clock, "monotonic">): AdmissionShares => {
    const reportsByKind = new Map<string, Reports>();
    /** Time of the latest response of each gate, to a request of any kind. */
    const respondedAt = new Map<NodeId, Milliseconds>();

    const getReports = (kind: string): Reports => {
        const existing = reportsByKind.get(kind);
        if (existing !== undefined) {
            return existing;
        }
        const [oldest] = reportsByKind.keys();
        if (reportsByKind.size >= MAXIMUM_KINDS && oldest !== undefined) {
            reportsByKind.delete(oldest);
        }
        const created: Reports = new Map();
        reportsByKind.set(kind, created);
        return created;
    };

    const setShare = (kind: string, nodeId: NodeId, share: number): void => {
        getReports(kind).set(nodeId, { share: Math.max(MINIMUM_SENT_SHARE, share), reportedAt: clock.monotonic() });
    };

    const recordResponse = (nodeId: NodeId): void => {
        const [oldest] = respondedAt.keys();
        respondedAt.delete(nodeId);
        respondedAt.set(nodeId, clock.monotonic());
        if (respondedAt.size > MAXIMUM_GATES && oldest !== undefined) {
            respondedAt.delete(oldest);
        }
    };

    return {
        recordShare: (kind, nodeId, share) => {
            recordResponse(nodeId);
            setShare(kind, nodeId, share);
        },
        recordSilence: (kind, nodeId, { sentAt, share }) => {
            if ((respondedAt.get(nodeId) ?? Number.NEGATIVE_INFINITY) < sentAt) {
                setShare(kind, nodeId, SHARE_AFTER_SILENCE * share);
            }
        },
        getShare: (kind, isPresent) => {
            const now = clock.monotonic();
            const reports = reportsByKind.get(kind);
            let largest: number | undefined;
            let latestAt = Number.NEGATIVE_INFINITY;
            for (const [nodeId, report] of reports ?? []) {
                if (now - report.reportedAt > LIFETIME_MS) {
                    reports?.delete(nodeId);
                }
                else if (isPresent(nodeId)) {
                    largest = Math.max(largest ?? 0, report.share);
                    latestAt = Math.max(latestAt, report.reportedAt);
                }
            }
            return largest === undefined ? 1 : growShare(largest, now - latestAt);
        },
    };
};
