/** The nodes of a simulated roll-out: the real decision code over links that delay and lose datagrams. */
import { createLogger } from "oleandergap-logger";
import type { Milliseconds, NodeId, TableService } from "oleandergap-types";
import type { ManualClock, Random } from "oleandergap-utils";
import { rolloutMessageSchema } from "../exchange/rolloutMessage.js";
import type { CreateJudge } from "../judge/judge.js";
import { defaultRolloutOptions, type RolloutOptions } from "../options.js";
import type { SplitTarget } from "../plan/targetSplit.js";
import { createRollouts, type Rollouts } from "../rollouts.js";
import type { FleetPlan } from "./fleetPlan.js";

/** Service whose targets are simulated. */
export const SERVICE = { partner: "halloway", service: "wills-desk" };
export const OLD_VERSION = "v1";
export const NEW_VERSION = "v2";
const ZONES = 3;
const CONTACTS_PER_ZONE = 3;
const SLOW_FACTOR = 5;
const LINK_DELAY_MS: Milliseconds = 2;

/** Address of a node in the simulated network. */
export interface SimulatedPeer {
    readonly id: NodeId;
    readonly zone: string;
}

/** A node with its target. */
export interface SimulatedNode extends SimulatedPeer {
    readonly isNew: boolean;
    /** Factor on the latency of its target. */
    readonly slowness: number;
    abortController: AbortController;
    rollouts: Rollouts<SimulatedPeer>;
    target: SplitTarget;
    inFlight: number;
}

/** Dependencies of a simulated fleet. */
export interface SimulatedFleetDependencies {
    readonly plan: FleetPlan;
    readonly clock: ManualClock;
    readonly random: Random;
    readonly tableService: TableService;
    readonly options?: RolloutOptions | undefined;
    readonly createJudge?: CreateJudge | undefined;
}

/** The nodes of a simulation. */
export interface SimulatedFleet {
    readonly nodes: readonly SimulatedNode[];
    /** Returns the targets as every gateway lists them. */
    readonly listTargets: () => readonly SplitTarget[];
    readonly findNode: (id: NodeId) => SimulatedNode | undefined;
    /** Starts one node for each target of a version. */
    readonly startNodes: (isNew: boolean) => void;
    /** Kills all processes of the nodes and starts them again. */
    readonly restartAll: () => void;
    /** Marks the targets of the old version as leaving. */
    readonly stopOldTargets: () => void;
    readonly stop: () => void;
}

/** Creates a fleet without nodes. */
export const createSimulatedFleet = (
    { plan, clock, random, tableService, options = defaultRolloutOptions, createJudge }: SimulatedFleetDependencies,
): SimulatedFleet => {
    const nodes: SimulatedNode[] = [];
    let targets: readonly SplitTarget[] = [];

    const findNode = (id: NodeId): SimulatedNode | undefined => nodes.find((node) => node.id === id);
    const refreshTargets = (): void => {
        targets = nodes.map(({ target }) => target);
    };

    const send = (from: SimulatedPeer, to: SimulatedPeer, text: string): void => {
        if (random() >= (plan.lossShare ?? 0)) {
            clock.after(LINK_DELAY_MS, () =>
                findNode(to.id)?.rollouts.receive(from, rolloutMessageSchema.parse(JSON.parse(text))));
        }
    };

    const createParticipant = (
        { id, zone, isNew }: Pick<SimulatedNode, "id" | "zone" | "isNew">,
        signal: AbortSignal,
    ): Rollouts<SimulatedPeer> => {
        const isFirstInZone = (): boolean => nodes.every((node) => node.zone !== zone || node.id >= id);
        const otherZones = Array.from({ length: ZONES }, (_, index) => `zone-${index}`)
            .filter((other) => other !== zone);
        return createRollouts<SimulatedPeer>({
            nodeId: id,
            clock,
            random,
            logger: createLogger("simulation"),
            options,
            network: {
                members: () => nodes.filter((node) => node.zone === zone && node.id !== id),
                contacts: () => otherZones.flatMap((other) =>
                    nodes.filter((node) => node.zone === other).slice(0, CONTACTS_PER_ZONE)),
                isFirstInZone,
                send: (to, message) => send({ id, zone }, to, JSON.stringify(message)),
            },
            findZoneRank: () => isFirstInZone() ? Number(zone.slice("zone-".length)) : undefined,
            tableService,
            findLocalTarget: () => {
                const node = findNode(id);
                return node === undefined ? undefined : {
                    service: SERVICE,
                    version: isNew ? NEW_VERSION : OLD_VERSION,
                    slots: plan.slots,
                    inFlight: node.inFlight,
                    coldLeftMs: Math.max(0, node.target.since + plan.coldStartMs - clock.now()),
                };
            },
            listTargets: () => targets,
            ...createJudge === undefined ? {} : { createJudge },
            signal,
        });
    };

    const startNode = (index: number, isNew: boolean): void => {
        const self = { id: `${isNew ? "new" : "old"}-${index}`, zone: `zone-${index % ZONES}`, isNew };
        const abortController = new AbortController();
        const slowTargets = (isNew ? plan.slowNewTargets : plan.slowOldTargets) ?? 0;
        const since = isNew ? clock.now() : clock.now() - plan.coldStartMs;
        const node: SimulatedNode = {
            ...self,
            slowness: (index < slowTargets ? SLOW_FACTOR : 1) * (0.7 + 0.6 * random()),
            abortController,
            rollouts: createParticipant(self, abortController.signal),
            target: { nodeId: self.id, leaving: false, since },
            inFlight: 0,
        };
        nodes.push(node);
        node.rollouts.start();
    };

    return {
        nodes,
        listTargets: () => targets,
        findNode,
        startNodes: (isNew) => {
            Array.from({ length: plan.targets }, (_, index) => startNode(index, isNew));
            refreshTargets();
        },
        restartAll: () => {
            for (const node of nodes) {
                node.abortController.abort();
                node.abortController = new AbortController();
                node.rollouts = createParticipant(node, node.abortController.signal);
            }
            nodes.forEach(({ rollouts }) => rollouts.start());
        },
        stopOldTargets: () => {
            for (const node of nodes.filter(({ isNew }) => !isNew)) {
                node.target = { ...node.target, leaving: true };
            }
            refreshTargets();
        },
        stop: () => nodes.forEach(({ abortController }) => abortController.abort()),
    };
};
