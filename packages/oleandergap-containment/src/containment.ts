/** Containment of requests that crash targets, as seen by one node: its evidence on requests and how it treats them. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, NodeId, TableService } from "oleandergap-types";
import { hashText, type Random } from "oleandergap-utils";
import { createContainedRows } from "./containedRows.js";
import type { CrashId, CrashReport, Judgement } from "./evidence.js";
import { createEvidenceStore, type ContainedRequest } from "./evidenceStore.js";
import type { EvidenceMessage } from "./evidenceMessage.js";
import { createEvidenceGossip, type EvidenceNetwork } from "./evidenceGossip.js";
import type { Fingerprint } from "./fingerprint.js";
import type { ContainmentOptions } from "./options.js";

/** Dependencies of a containment. */
export interface ContainmentDependencies<Peer> {
    readonly nodeId: NodeId;
    /** Unique to each start of the process. */
    readonly bootId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: ContainmentOptions;
    readonly network: EvidenceNetwork<Peer>;
    /** Stores contained requests for a restart of all nodes at once. */
    readonly tableService: Pick<TableService, "transact" | "scan">;
    readonly signal: AbortSignal;
}

/** Statistics of a containment. */
export interface ContainmentStatistics {
    /** Number of crashes of the local target while requests were running, since the start of the process. */
    readonly ownCrashes: number;
    /** Number of requests on which there is evidence at present. */
    readonly suspects: number;
    /** Number of requests that are refused at present. */
    readonly contained: number;
}

/** Decides how one node treats requests, from the evidence on them. */
export interface Containment<Peer> {
    /** Starts the exchange of evidence with other nodes. */
    readonly start: () => void;
    readonly receive: (from: Peer, message: EvidenceMessage) => void;
    /** Returns whether there is evidence against any request. If not, no fingerprints have to be computed. */
    readonly hasSuspects: () => boolean;
    readonly judge: (fingerprint: Fingerprint) => Judgement;
    /** Returns the time until a contained request may be retried. */
    readonly retryAfter: (judgement: Extract<Judgement, { readonly kind: "Contained" }>) => Milliseconds;
    /** Records that the local target ended while these requests were running, and returns the id of the crash. */
    readonly recordLocalCrash: (running: readonly Fingerprint[]) => CrashId;
    /** Records a crash that another node reported for one request: its target ended while the request was running. */
    readonly recordReportedCrash: (crash: CrashId, node: NodeId, fingerprint: Fingerprint) => void;
    /** Records a good run: the local target answered a request completely. */
    readonly recordLocalGoodRun: (fingerprint: Fingerprint) => void;
    /** Records a good run at a remote target. The node of that target informs the other nodes. */
    readonly recordRemoteGoodRun: (fingerprint: Fingerprint) => void;
    readonly stats: () => ContainmentStatistics;
}

const CRASH_ID_RADIX = 36;

/** Creates a containment without evidence. */
export const createContainment = <Peer>(
    { nodeId, bootId, clock, random, logger, options, network, tableService, signal }: ContainmentDependencies<Peer>,
): Containment<Peer> => {
    const evidenceStore = createEvidenceStore(options);
    const rows = createContainedRows({ tableService, clock, random, logger, signal });
    /** Prefix of the ids of all crashes that this process has detected. */
    const localCrashPrefix = `${hashText(`${nodeId}/${bootId}`).toString(CRASH_ID_RADIX)}-`;
    let localCrashCount = 0;
    /** Number of crashes of each refused request. */
    const containedCrashCounts = new Map<Fingerprint, number>();

    const handleContained = (request: ContainedRequest): void => {
        const { fingerprint, crashes, until } = request;
        const holdDurationMs = Math.round(until - clock.monotonic());
        const nodes = crashes.map(({ node }) => node).join(" ");
        logger.warn("A request is refused because targets crash while running it.", {
            fingerprint,
            nodes,
            forMs: holdDurationMs,
        });
        // Each node that detected one of the crashes writes the row, because the other nodes that detected a crash may
        // no longer be running.
        if (crashes.some(({ crash }) => crash.startsWith(localCrashPrefix))) {
            rows.save(request);
        }
    };

    const handleReleased = (fingerprint: Fingerprint): void => {
        logger.info("A request is no longer refused because of crashes.", { fingerprint });
        rows.remove(fingerprint);
    };

    const updateContainedRequest = (fingerprint: Fingerprint): void => {
        const request = evidenceStore.findContained(fingerprint, clock.monotonic());
        const crashes = request?.crashes.length ?? 0;
        const previousCrashes = containedCrashCounts.get(fingerprint) ?? 0;
        if (request !== undefined && crashes !== previousCrashes) {
            containedCrashCounts.set(fingerprint, crashes);
            handleContained(request);
        }
        if (request === undefined && containedCrashCounts.delete(fingerprint)) {
            handleReleased(fingerprint);
        }
    };

    /** Applies new evidence. Logs one line at the beginning and at the end of each containment. */
    const updateContainedRequests = (changedFingerprints: readonly Fingerprint[]): void =>
        new Set([...changedFingerprints, ...containedCrashCounts.keys()]).forEach(updateContainedRequest);

    const gossip = createEvidenceGossip({
        clock,
        random,
        logger,
        evidenceStore,
        network,
        loadContained: rows.load,
        onChange: updateContainedRequests,
        signal,
    });

    const recordLocalCrash: Containment<Peer>["recordLocalCrash"] = (running) => {
        localCrashCount += 1;
        const crash = `${localCrashPrefix}${localCrashCount}`;
        const fingerprints = [...new Set(running)];
        const report: CrashReport = { crash, node: nodeId, at: clock.monotonic(), fingerprints };
        logger.warn("The target ended while requests were running.", { crash, running: fingerprints.join(" ") });
        evidenceStore.recordCrash(report);
        gossip.broadcastCrash(report);
        updateContainedRequests(fingerprints);
        return crash;
    };

    const countContained = (): number =>
        [...containedCrashCounts.keys()]
            .filter((fingerprint) => evidenceStore.findContained(fingerprint, clock.monotonic()))
            .length;

    return {
        start: gossip.start,
        receive: gossip.receive,
        hasSuspects: evidenceStore.hasSuspects,
        judge: (fingerprint) => evidenceStore.judge(fingerprint, clock.monotonic()),
        retryAfter: ({ until }) => Math.max(0, until - clock.monotonic()),
        recordLocalCrash,
        recordReportedCrash: (crash, node, fingerprint) => {
            evidenceStore.recordCrash({ crash, node, at: clock.monotonic(), fingerprints: [fingerprint] });
            updateContainedRequests([fingerprint]);
        },
        recordLocalGoodRun: (fingerprint) => {
            const run = { fingerprint, at: clock.monotonic() };
            const { kind } = evidenceStore.judge(fingerprint, run.at);
            const isUrgent = kind === "Probation" || kind === "Contained";
            if (evidenceStore.recordGoodRun(run)) {
                gossip.broadcastGoodRun(run, isUrgent);
                updateContainedRequests([fingerprint]);
            }
        },
        recordRemoteGoodRun: (fingerprint) => {
            if (evidenceStore.recordGoodRun({ fingerprint, at: clock.monotonic() })) {
                updateContainedRequests([fingerprint]);
            }
        },
        stats: () => ({
            ownCrashes: localCrashCount,
            suspects: evidenceStore.size(),
            contained: countContained(),
        }),
    };
};
