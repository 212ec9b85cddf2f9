/** The roll-outs and reports that one node has received or created. */
import { formatServiceReference, type Milliseconds, type NodeId, type ServiceReference } from "oleandergap-types";
import { isNewerReport, type ReceivedReport, type TargetReport, type TargetReports } from "../judge/tally.js";
import { hasSameContent, mergeRollout, type Rollout, type RolloutOrder } from "../rollout.js";
import { getReportSize, MAX_REPORT_PARTS } from "./rolloutMessage.js";

/**
 * Size of the reports that a node sends on in one round, in parts; see `getReportSize`. Two datagrams a round are
 * enough for all reports of a service with sixty targets.
 */
const PARTS_PER_ROUND = 2 * MAX_REPORT_PARTS;
/** Number of replaced orders that are kept for each service, to recognise them when they are found again. */
const MAX_REPLACED_ORDERS = 8;

/** A roll-out and the reports of its service's targets. */
export interface RolloutRecord {
    readonly rollout: Rollout;
    readonly reports: TargetReports;
    /** Increased with each change of the roll-out or of the versions and states in the reports. */
    readonly revision: number;
}

interface StoredReport extends ReceivedReport {
    isSent: boolean;
}

interface StoredRollout extends RolloutRecord {
    rollout: Rollout;
    reports: Map<NodeId, StoredReport>;
    revision: number;
    /** Orders that this one has replaced, the latest first. */
    readonly replacedOrders: readonly RolloutOrder[];
}

/** Stores one roll-out per service. */
export interface RolloutStore {
    /** Adds a roll-out or a later state of it. Returns the changed roll-out, or undefined if nothing is new. */
    readonly merge: (rollout: Rollout) => Rollout | undefined;
    /** Adds a report. Returns false if it is not newer or its roll-out is unknown. */
    readonly addReport: (rolloutId: string, report: TargetReport, now: Milliseconds) => boolean;
    readonly find: (service: ServiceReference) => RolloutRecord | undefined;
    readonly findById: (rolloutId: string) => RolloutRecord | undefined;
    /** Returns whether an order with this content is stored, or was until a later order replaced it. */
    readonly hasOrder: (order: RolloutOrder) => boolean;
    readonly list: () => readonly RolloutRecord[];
    /**
     * Returns reports of a roll-out that were not sent on yet, those of the new version first, and marks them as sent.
     * Each report is sent on once, to several nodes: that reaches nearly every node of a large fleet, and a node that
     * was missed gets the next report.
     */
    readonly takeReports: (rolloutId: string) => readonly TargetReport[];
}

/** Returns whether a report changes which requests its target may receive. */
const changesSplit = (previous: TargetReport | undefined, next: TargetReport): boolean =>
    previous?.version !== next.version || (previous.coldLeftMs === 0) !== (next.coldLeftMs === 0);

/** Creates an empty store. */
export const createRolloutStore = (): RolloutStore => {
    const stored = new Map<string, StoredRollout>();

    const findById = (rolloutId: string): StoredRollout | undefined =>
        [...stored.values()].find(({ rollout }) => rollout.order.id === rolloutId);

    const merge: RolloutStore["merge"] = (received) => {
        const key = formatServiceReference(received.order.service);
        const record = stored.get(key);
        const merged = mergeRollout(record?.rollout, received);
        if (merged === record?.rollout) {
            return undefined;
        }
        if (record?.rollout.order.id === merged.order.id) {
            const isNewState = record.rollout.state !== merged.state;
            record.rollout = merged;
            record.revision += 1;
            return isNewState ? merged : undefined;
        }
        const replacedOrders = record === undefined ?
            [] :
            [record.rollout.order, ...record.replacedOrders].slice(0, MAX_REPLACED_ORDERS);
        stored.set(key, { rollout: merged, reports: new Map(), revision: 0, replacedOrders });
        return merged;
    };

    const hasOrder: RolloutStore["hasOrder"] = (order) => {
        const record = stored.get(formatServiceReference(order.service));
        return record !== undefined &&
            [record.rollout.order, ...record.replacedOrders].some((known) => hasSameContent(known, order));
    };

    const addReport: RolloutStore["addReport"] = (rolloutId, report, now) => {
        const record = findById(rolloutId);
        const previous = record?.reports.get(report.node)?.report;
        if (record === undefined || !isNewerReport(previous, report)) {
            return false;
        }
        record.reports.set(report.node, { report, at: now, isSent: false });
        if (changesSplit(previous, report)) {
            record.revision += 1;
        }
        return true;
    };

    const takeReports: RolloutStore["takeReports"] = (rolloutId) => {
        const record = findById(rolloutId);
        if (record === undefined) {
            return [];
        }
        const isNew = ({ report }: StoredReport): boolean => report.version === record.rollout.order.version;
        const unsent = [...record.reports.values()].filter(({ isSent }) => !isSent);
        let remaining = PARTS_PER_ROUND;
        const taken = [...unsent.filter(isNew), ...unsent.filter((stored) => !isNew(stored))].filter(({ report }) => {
            remaining -= getReportSize(report);
            return remaining >= 0;
        });
        for (const stored of taken) {
            stored.isSent = true;
        }
        return taken.map(({ report }) => report);
    };

    return {
        merge,
        addReport,
        find: (service) => stored.size === 0 ? undefined : stored.get(formatServiceReference(service)),
        findById,
        hasOrder,
        list: () => [...stored.values()],
        takeReports,
    };
};
