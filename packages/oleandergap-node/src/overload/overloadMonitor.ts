/** Observes the load of this node and of others, and decides whether callers should use other nodes. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import { createCallerDiversion } from "./callerDiversion.js";
import { createPeerLoad } from "./peerLoad.js";
import type { ReadProcessLoad } from "./processLoad.js";

/** Interval between two readings. */
const PERIOD_MS: Milliseconds = 500;
const PERCENT = 100;
const PERCENT_PATTERN = /^\d{1,3}$/;

/** Who sent a request. */
export type RequestSender = "Caller" | "Node";

export interface OverloadMonitor {
    readonly recordRequest: (sender: RequestSender) => void;
    /** Records the header by which another node reports its load; undefined if a request has none. */
    readonly recordReport: (header: string | undefined) => void;
    /** Returns the value of that header for a request to a node; undefined if the request needs none. */
    readonly describeLoad: (nodeId: NodeId) => string | undefined;
    /** Returns whether callers should use other nodes. */
    readonly isDiverting: () => boolean;
    /** Takes readings until the signal aborts. */
    readonly start: (signal: AbortSignal) => void;
}

export interface OverloadMonitorDependencies {
    readonly clock: Clock;
    /** Clock for periodic work. */
    readonly backgroundClock: Pick<Clock, "after">;
    readonly logger: Logger;
    readonly readProcessLoad: ReadProcessLoad;
}

/** Creates a monitor without readings. */
export const createOverloadMonitor = (
    { clock, backgroundClock, logger, readProcessLoad }: OverloadMonitorDependencies,
): OverloadMonitor => {
    const diversion = createCallerDiversion(clock);
    const peerLoad = createPeerLoad(clock);
    const requests: Record<RequestSender, number> = { Caller: 0, Node: 0 };
    let busyShare = 0;

    const takeReading = (): void => {
        ({ busyShare } = readProcessLoad());
        const reading = {
            busyShare,
            peersBusyShare: peerLoad.meanBusyShare(),
            nodeRequests: requests.Node,
            callerRequests: requests.Caller,
        };
        requests.Caller = 0;
        requests.Node = 0;
        const wasDiverting = diversion.isDiverting();
        diversion.record(reading);
        if (diversion.isDiverting() !== wasDiverting) {
            logger.info(wasDiverting ? "Callers may use this node again." : "Callers should use other nodes.", reading);
        }
    };

    const start = (signal: AbortSignal): void => {
        backgroundClock.after(PERIOD_MS, () => {
            takeReading();
            if (!signal.aborted) {
                start(signal);
            }
        });
    };

    return {
        recordRequest: (sender) => {
            requests[sender] += 1;
        },
        recordReport: (header) => {
            if (header !== undefined && PERCENT_PATTERN.test(header)) {
                peerLoad.recordReport(Math.min(1, Number(header) / PERCENT));
            }
        },
        describeLoad: (nodeId) => peerLoad.takeReport(nodeId) ? String(Math.round(busyShare * PERCENT)) : undefined,
        isDiverting: diversion.isDiverting,
        start,
    };
};
