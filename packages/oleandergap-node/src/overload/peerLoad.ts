/** The load of the nodes that exchange requests with this one: what they report, and what this node reports to them. */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import { createDecayingCounters } from "oleandergap-utils";

/** Time between two reports to the same node, so that few requests carry one. */
const REPORT_INTERVAL_MS: Milliseconds = 250;
/** Time constant of the mean. It covers several reports of each node. */
const TIME_CONSTANT_MS: Milliseconds = 1000;
/** Number of reports, after their decay, below which the mean is unknown. */
const MIN_REPORTS = 0.5;
/** Maximum number of nodes whose latest report is known. The one whose report is oldest is evicted. */
const MAX_NODES = 1024;

export interface PeerLoad {
    /** Records the busy share that another node reported with a request. */
    readonly recordReport: (busyShare: number) => void;
    /** Returns the mean of the reported busy shares; undefined if there were none lately. */
    readonly meanBusyShare: () => number | undefined;
    /** Returns whether a request to a node should carry a report, and records that it does. */
    readonly takeReport: (nodeId: NodeId) => boolean;
}

/** Creates the load without reports. */
export const createPeerLoad = (clock: Clock): PeerLoad => {
    const reportedAt = new Map<NodeId, Milliseconds>();
    const getReports = createDecayingCounters({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ count: 0, busy: 0 }),
        scale: (reports, factor) => {
            reports.count *= factor;
            reports.busy *= factor;
        },
    });

    return {
        recordReport: (busyShare) => {
            const reports = getReports("");
            reports.count += 1;
            reports.busy += busyShare;
        },
        meanBusyShare: () => {
            const { count, busy } = getReports("");
            return count < MIN_REPORTS ? undefined : busy / count;
        },
        takeReport: (nodeId) => {
            const now = clock.monotonic();
            if (now - (reportedAt.get(nodeId) ?? Number.NEGATIVE_INFINITY) < REPORT_INTERVAL_MS) {
                return false;
            }
            reportedAt.delete(nodeId);
            reportedAt.set(nodeId, now);
            const [oldest] = reportedAt.keys();
            if (reportedAt.size > MAX_NODES && oldest !== undefined) {
                reportedAt.delete(oldest);
            }
            return true;
        },
    };
};
