/** The roll-outs of all services as one node takes part in them: at its gateway, at its gate, and in the decisions. */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, NodeId, ServiceReference, TableService } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { createDecider } from "./decision/decider.js";
import { createFoundOrders } from "./decision/foundOrders.js";
import { createRolloutRows } from "./decision/rolloutRows.js";
import { createRolloutGossip, type RolloutNetwork } from "./exchange/rolloutGossip.js";
import type { RolloutMessage } from "./exchange/rolloutMessage.js";
import { createRolloutStore } from "./exchange/rolloutStore.js";
import { createSequentialJudge, type CreateJudge, type RolloutVerdict } from "./judge/judge.js";
import type { RunOutcome } from "./judge/outcomeCounter.js";
import type { RolloutOptions } from "./options.js";
import { createParticipations, type Participations } from "./participation.js";
import type { SplitTarget } from "./plan/targetSplit.js";
import { isFinal, type Rollout, type RolloutOrder, type TargetVersion } from "./rollout.js";
import { createTargetReporter, type LocalTargetState } from "./targetReporter.js";

/** Dependencies of the roll-outs. */
export interface RolloutsDependencies<Peer> {
    readonly nodeId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: RolloutOptions;
    readonly network: RolloutNetwork<Peer>;
    /** Returns the position of this node's zone if it is the first node there; undefined otherwise. */
    readonly findZoneRank: () => number | undefined;
    readonly tableService: Pick<TableService, "transact" | "scan" | "read">;
    /** Returns the local target; undefined if there is none or if it announced no version. */
    readonly findLocalTarget: () => LocalTargetState | undefined;
    /** Returns the targets of a service as this node lists them. */
    readonly listTargets: (service: ServiceReference) => readonly SplitTarget[];
    readonly createJudge?: CreateJudge;
    readonly signal: AbortSignal;
}

/** A roll-out and what its verdict rests on, for operators. */
export interface RolloutStatus {
    readonly rollout: Rollout;
    readonly verdict: RolloutVerdict;
    readonly newRequests: number;
    readonly otherRequests: number;
}

/** Takes part in all roll-outs. */
export interface Rollouts<Peer> {
    /** Starts to ask other nodes for the roll-outs of the fleet. */
    readonly start: () => void;
    readonly receive: (from: Peer, message: RolloutMessage) => void;
    /** Starts a roll-out for an order that the operator has just given, unless the order was received before. */
    readonly submit: (order: RolloutOrder) => void;
    /** Starts a roll-out for an order that was found in the operator's table, unless there is or was one for it. */
    readonly submitFound: (order: RolloutOrder) => void;
    /** Writes what the platform's table has lost, after it was restored from a backup. */
    readonly handleRestore: () => void;
    /** Stops a roll-out that is under way. */
    readonly abort: (rolloutId: string, reason: string) => void;
    /** Returns whether any order was received. If not, requests need no further checks. */
    readonly hasRollouts: () => boolean;
    readonly split: Participations["split"];
    /** Returns whether a target of this version may receive requests. */
    readonly mayServe: (service: ServiceReference, version: TargetVersion | undefined) => boolean;
    /** Records an outcome at the local target. */
    readonly recordRun: (service: ServiceReference, outcome: RunOutcome) => void;
    readonly list: () => readonly RolloutStatus[];
}

const LOAD_BACKOFF_BASE_MS: Milliseconds = 250;
const LOAD_BACKOFF_MAXIMUM_MS: Milliseconds = 5000;

/** Creates the roll-outs of a node that has received no order yet. */
export const createRollouts = <Peer>(dependencies: RolloutsDependencies<Peer>): Rollouts<Peer> => {
    const { nodeId, clock, random, logger, options, network, findZoneRank, tableService, signal } = dependencies;
    const { createJudge = createSequentialJudge, findLocalTarget, listTargets } = dependencies;
    const store = createRolloutStore();
    const rows = createRolloutRows({ tableService, clock, signal });
    const reporter = createTargetReporter({ nodeId, clock, findLocalTarget });
    const participations = createParticipations({
        clock,
        store,
        createJudge,
        options,
        isInformed: () => gossip.isInformed(),
    });
    const decider = createDecider({
        clock,
        random,
        logger,
        options,
        store,
        rows,
        findZoneRank,
        getVerdict: (rollout) => participations.get(rollout).verdict,
        getFollowedSince: (rollout) => participations.get(rollout).since,
        listTargets,
        broadcast: (rollout) => gossip.broadcast(rollout),
        signal,
    });

    const runRound = (): void => {
        for (const record of store.list()) {
            const report = reporter.createReport(record);
            if (report !== undefined) {
                store.addReport(record.rollout.order.id, report, clock.monotonic());
            }
            if (!isFinal(record.rollout.state)) {
                decider.decide(record, participations.judge(record));
            }
        }
    };

    const loadRollouts = async (isNeeded: () => boolean): Promise<readonly Rollout[] | undefined> => {
        for (let failures = 0; isNeeded(); failures++) {
            const loaded = await rows.load();
            if (either.isRight(loaded)) {
                return loaded.right;
            }
            logger.info("Roll-outs could not be read.", { reason: loaded.left.kind });
            await clock.sleep(drawBackoff(random, failures, LOAD_BACKOFF_BASE_MS, LOAD_BACKOFF_MAXIMUM_MS), signal);
        }
        return undefined;
    };

    const gossip = createRolloutGossip<Peer>({
        clock,
        random,
        store,
        network,
        loadRollouts,
        onChange: decider.handleChange,
        onRound: runRound,
        signal,
    });

    const foundOrders = createFoundOrders({
        clock,
        isInformed: gossip.isInformed,
        hasOrder: store.hasOrder,
        loadRollouts,
        apply: decider.apply,
        signal,
    });

    return {
        start: gossip.start,
        receive: gossip.receive,
        submit: (order) => {
            const now = clock.monotonic();
            if (store.findById(order.id) === undefined) {
                decider.apply({ order, orderedAt: now, state: "running", since: now, reason: "ordered" });
            }
        },
        submitFound: foundOrders.add,
        handleRestore: decider.restoreRows,
        abort: (rolloutId, reason) => {
            const record = store.findById(rolloutId);
            if (record !== undefined && !isFinal(record.rollout.state)) {
                decider.apply({ ...record.rollout, state: "stopping", since: clock.monotonic(), reason });
            }
        },
        hasRollouts: () => store.list().length > 0,
        split: participations.split,
        mayServe: (service, version) => {
            const rollout = store.find(service)?.rollout;
            const isStopped = rollout?.state === "stopping" || rollout?.state === "rolledBack";
            return !isStopped || rollout.order.version !== version;
        },
        recordRun: (service, outcome) => {
            const record = store.find(service);
            if (record !== undefined && !isFinal(record.rollout.state)) {
                reporter.recordRun(record.rollout, outcome);
            }
        },
        list: () => store.list().map(({ rollout }) => {
            const { verdict, judge } = participations.get(rollout);
            const { trial, control } = judge.counts();
            return { rollout, verdict, newRequests: trial, otherRequests: control };
        }),
    };
};
