/** The roll-outs and reports that one node knows. */
import { formatServiceReference, type Milliseconds, type NodeId, type ServiceReference } from "oleandergap-types";
import { isNewerReport, type ReceivedReport, type TargetReport, type TargetReports } from "../judge/tally.js";
import { mergeRollout, type Rollout } from "../rollout.js";
import { getReportSize, MAX_REPORT_PARTS } from "./rolloutMessage.js";

/**
 * Number of times that a node sends a report on, each time to several others. Together that reaches every node of a
 * large fleet; a node that was missed gets the next report.
 */
const REPORT_TRANSMISSIONS = 2;

/** A roll-out and the reports of its service's targets. */
export interface KnownRollout {
    readonly rollout: Rollout;
    readonly reports: TargetReports;
    /** Increased with each change of the roll-out or of the versions and states in the reports. */
    readonly revision: number;
}

interface StoredReport extends ReceivedReport {
    transmissions: number;
}

interface StoredRollout extends KnownRollout {
    rollout: Rollout;
    reports: Map<NodeId, StoredReport>;
    revision: number;
}

/** Stores one roll-out per service. */
export interface RolloutStore {
    /** Adds a roll-out or a later state of it. Returns the changed roll-out, or undefined if nothing is new. */
    readonly merge: (rollout: Rollout) => Rollout | undefined;
    /** Adds a report. Returns false if it is not newer or its roll-out is unknown. */
    readonly addReport: (rolloutId: string, report: TargetReport, now: Milliseconds) => boolean;
    readonly find: (service: ServiceReference) => KnownRollout | undefined;
    readonly findById: (rolloutId: string) => KnownRollout | undefined;
    readonly list: () => readonly KnownRollout[];
    /**
     * Returns the reports of a roll-out that were sent on least often, as many as fit into one datagram, and counts the
     * transmission.
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
        const known = stored.get(key);
        const merged = mergeRollout(known?.rollout, received);
        if (merged === known?.rollout) {
            return undefined;
        }
        if (known?.rollout.order.id === merged.order.id) {
            const isNewState = known.rollout.state !== merged.state;
            known.rollout = merged;
            known.revision += 1;
            return isNewState ? merged : undefined;
        }
        stored.set(key, { rollout: merged, reports: new Map(), revision: 0 });
        return merged;
    };

    const addReport: RolloutStore["addReport"] = (rolloutId, report, now) => {
        const known = findById(rolloutId);
        const previous = known?.reports.get(report.node)?.report;
        if (known === undefined || !isNewerReport(previous, report)) {
            return false;
        }
        known.reports.set(report.node, { report, at: now, transmissions: 0 });
        if (changesSplit(previous, report)) {
            known.revision += 1;
        }
        return true;
    };

    const takeReports: RolloutStore["takeReports"] = (rolloutId) => {
        const due = [...findById(rolloutId)?.reports.values() ?? []]
            .filter(({ transmissions }) => transmissions < REPORT_TRANSMISSIONS)
            .sort((left, right) => left.transmissions - right.transmissions);
        let remaining = MAX_REPORT_PARTS;
        const taken = due.filter(({ report }) => {
            remaining -= getReportSize(report);
            return remaining >= 0;
        });
        for (const stored of taken) {
            stored.transmissions += 1;
        }
        return taken.map(({ report }) => report);
    };

    return {
        merge,
        addReport,
        find: (service) => stored.get(formatServiceReference(service)),
        findById,
        list: () => [...stored.values()],
        takeReports,
    };
};
