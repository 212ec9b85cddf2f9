/**
 * A fleet of nodes in one process on a manual clock. It runs the real distribution code with the fakes of this folder.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Head, LinkClass, Milliseconds, NodeId, PartnerName } from "oleandergap-types";
import { createLogger } from "oleandergap-logger";
import { createManualClock, createSeededRandom, pickOne, pickSeveral, type ManualClock } from "oleandergap-utils";
import { packText } from "oleandergap-membership";
import { defaultDistributionOptions, type DistributionOptions } from "../options.js";
import type { PeerError } from "../peerError.js";
import { peerRouter } from "../peerRouter.js";
import type { FleetPort, PeerAddress, PeerPort, ProgressListener, SpreadSender } from "../ports.js";
import { createSpread, type Spread } from "../spread.js";
import type { SpreadMessage } from "../spreadMessage.js";
import { groupByZone } from "../zones.js";
import { createInMemoryNetwork, type InMemoryNetwork } from "./inMemoryNetwork.js";
import { createInMemoryPlatform, type InMemoryPlatform } from "./inMemoryPlatform.js";
import { createNodeClock } from "./nodeClock.js";
import { createRecordingStore, type RecordingStore } from "./recordingStore.js";

export const PARTNERS: readonly PartnerName[] = ["halloway", "kushiro"];

type CellValues = Readonly<Record<string, number | string>>;

export interface FleetPlan {
    readonly zones: number;
    readonly nodesPerZone: number;
    /** Total number of nodes, if the zones differ in size. */
    readonly nodes?: number;
    readonly seed: number;
    readonly options?: DistributionOptions;
    /**
     * Whether nodes exchange heads in probes about once per second, as in datagrams of the membership; true by default.
     */
    readonly probes?: boolean;
    /** Time until the members of a zone remove a dead member. */
    readonly detectionMs?: number;
    /** Returns the link class of a node; by default, no link class is known. */
    readonly getLinkClass?: (index: number) => LinkClass;
    /** Returns whether calls for versions currently succeed; true by default. Calls for heads always succeed. */
    readonly canServeVersions?: () => boolean;
    /** Returns the transfer time of a response to a call for a version; undefined if the holder does not respond. */
    readonly getResponseDelay?: (requester: NodeId, holder: NodeId, bytes: number) => Milliseconds | undefined;
    /** Whether a delayed response arrives in small parts instead of all at once; false by default. */
    readonly sendsParts?: boolean;
}

/** State of a node that a restart replaces. */
interface NodeProcess {
    store: RecordingStore;
    spread: Spread;
    abort: AbortController;
}

export interface FleetNode extends NodeProcess {
    readonly address: PeerAddress;
    isUp: boolean;
    isFrozen: boolean;
    /** Timers that became due while the node was frozen. */
    readonly overdueTimers: (() => void)[];
    killedAt: number;
    /** Whether the node can reach the platform. */
    canReachPlatform: boolean;
}

export interface SentMessage {
    readonly from: NodeId;
    readonly to: NodeId;
    readonly message: SpreadMessage;
}

export interface InMemoryFleet {
    readonly clock: ManualClock;
    readonly platform: InMemoryPlatform;
    readonly network: InMemoryNetwork;
    readonly nodes: readonly FleetNode[];
    /** All messages of the distribution that were sent. */
    readonly sent: readonly SentMessage[];
    readonly node: (index: number) => FleetNode;
    readonly zone: (index: number) => readonly FleetNode[];
    /** Accepts a change at a node and announces it there, as the daemon does. */
    readonly acceptAt: (node: FleetNode, partner: PartnerName, changes: CellValues) => Head;
    readonly kill: (node: FleetNode) => void;
    /** Restarts the node's process without any stored state. */
    readonly restart: (node: FleetNode) => void;
    readonly freeze: (node: FleetNode) => void;
    readonly unfreeze: (node: FleetNode) => void;
    /** Returns the running nodes that hold the platform's head of a partner. */
    readonly listInformed: (partner: PartnerName) => readonly FleetNode[];
    /** Starts all nodes and waits until they have recovered. */
    readonly startAll: () => Promise<void>;
    readonly stop: () => void;
}

const PROBE_INTERVAL_MS = 1_000;
const CONTACTS_PER_ZONE = 3;
/** Interval between two parts of a response that arrives in parts. */
const PART_INTERVAL_MS = 100;
/** Size of two heads in a datagram of the membership, in the encoding of its codec. */
const HEADS_DATAGRAM_BYTES = 133;
/** Size of the sender's id and zone, which `createSpreadTransport` adds. */
const DATAGRAM_SENDER_BYTES = 50;

export const createInMemoryFleet = (plan: FleetPlan): InMemoryFleet => {
    const clock = createManualClock();
    const random = createSeededRandom(plan.seed);
    const platform = createInMemoryPlatform(PARTNERS, clock);
    const options = plan.options ?? { ...defaultDistributionOptions, budget: {
        ...defaultDistributionOptions.budget,
        zones: plan.zones,
    } };
    const nodesById = new Map<NodeId, FleetNode>();
    const sent: SentMessage[] = [];
    const network = createInMemoryNetwork({
        clock,
        random,
        isUp: (id) => nodesById.get(id)?.isUp ?? false,
        isFrozen: (id) => nodesById.get(id)?.isFrozen ?? false,
    });

    const isListed = (member: FleetNode): boolean =>
        member.isUp || clock.monotonic() - member.killedAt < (plan.detectionMs ?? 5_000);

    const createFleetPort = (self: PeerAddress): FleetPort => {
        const others = (): readonly PeerAddress[] =>
            nodes.map((other) => other.address).filter((other) => other.zone !== self.zone);
        return {
            self: () => self,
            members: () => nodes
                .filter((other) => other.address.zone === self.zone && isListed(other))
                .map((other) => other.address),
            contacts: () => [...groupByZone(others()).values()].flatMap((zone) =>
                pickSeveral(createSeededRandom(self.controlPort), zone, CONTACTS_PER_ZONE)),
        };
    };

    const findNode = (address: PeerAddress): FleetNode => {
        const node = nodesById.get(address.id);
        if (node === undefined) {
            throw new Error(`unknown node ${address.id}`);
        }
        return node;
    };

    /** Creates a caller of a node's real router, without HTTP. */
    const createCaller = (to: PeerAddress): ReturnType<typeof peerRouter.createCaller> => {
        const { store, spread } = findNode(to);
        return peerRouter.createCaller({
            store,
            fleet: createFleetPort(to),
            directory: { answerZoneTargets: () => ({ services: [] }) },
            random,
            isReady: spread.isReady,
            platformAge: spread.platformAge,
        });
    };

    const measureResponse = (response: unknown): number => packText(JSON.stringify(response)).length;

    const wait = (delay: Milliseconds): Promise<void> => new Promise((resolve) => {
        clock.after(delay, resolve);
    });

    const receiveParts = async (delay: Milliseconds, onProgress: ProgressListener): Promise<void> => {
        for (let waited = 0; waited < delay; waited += PART_INTERVAL_MS) {
            await wait(Math.min(PART_INTERVAL_MS, delay - waited));
            onProgress(Math.min(1, (waited + PART_INTERVAL_MS) / delay));
        }
    };

    const delayResponse = async <Result>(
        call: TaskEither<PeerError, Result>,
        requester: PeerAddress,
        holder: PeerAddress,
        onProgress: ProgressListener,
    ): Promise<Either<PeerError, Result>> => {
        const result = await call();
        const { getResponseDelay = () => 0 } = plan;
        const delay = getResponseDelay(requester.id, holder.id, measureResponse(result));
        if (delay !== undefined && plan.sendsParts === true) {
            await receiveParts(delay, onProgress);
        }
        else if (delay !== 0) {
            await wait(delay ?? options.peer.timeoutMs);
        }
        return delay === undefined ? either.left({ kind: "Unreachable", detail: "silent" }) : result;
    };

    const serveVersion = <Result>(
        call: TaskEither<PeerError, Result>,
        requester: PeerAddress,
        holder: PeerAddress,
        onProgress: ProgressListener = () => undefined,
    ): TaskEither<PeerError, Result> =>
        plan.canServeVersions?.() === false ?
            async () => either.left({ kind: "Unreachable", detail: "overloaded" }) :
            () => delayResponse(call, requester, holder, onProgress);

    const createPeers = (self: PeerAddress): PeerPort => ({
        ping: (to) => network.call(self, to, undefined, () => createCaller(to).ping()),
        heads: (to) => network.call(self, to, undefined, () => createCaller(to).heads()),
        deltasSince: (to, query, _signal, onProgress) =>
            serveVersion(
                network.call(self, to, query, () => createCaller(to).deltasSince(query)),
                self,
                to,
                onProgress,
            ),
        document: (to, query, _signal, onProgress) =>
            serveVersion(network.call(self, to, query, () => createCaller(to).document(query)), self, to, onProgress),
    });

    const createSender = (self: PeerAddress): SpreadSender => ({
        sendHeads: (to, heads) => network.sendDatagram(self, to, HEADS_DATAGRAM_BYTES, () =>
            findNode(to).spread.receiveHeads(self, heads)),
        send: (to, message) => {
            sent.push({ from: self.id, to: to.id, message });
            const bytes = packText(JSON.stringify(message)).length + DATAGRAM_SENDER_BYTES;
            network.sendDatagram(self, to, bytes, () => findNode(to).spread.receive(self, message));
        },
    });

    const createProcess = (address: PeerAddress): NodeProcess => {
        const abort = new AbortController();
        const store = createRecordingStore(PARTNERS);
        const spread = createSpread({
            partners: PARTNERS,
            store,
            fleet: createFleetPort(address),
            sender: createSender(address),
            peers: createPeers(address),
            source: platform.createSource(() => findNode(address).canReachPlatform),
            clock: createNodeClock(clock, () => findNode(address)),
            random,
            logger: createLogger("spread"),
            options,
            signal: abort.signal,
        });
        return { abort, store, spread };
    };

    const startProcess = (node: FleetNode): void => {
        Object.assign(node, createProcess(node.address));
        node.isUp = true;
        node.spread.start();
        void node.spread.recover();
        if (plan.probes ?? true) {
            scheduleProbe(node, node.abort.signal);
        }
    };

    /** Schedules a probe. The probe and its reply carry the heads of both nodes, as in the membership. */
    const scheduleProbe = (node: FleetNode, signal: AbortSignal): void => {
        clock.after(PROBE_INTERVAL_MS * (0.5 + random()), () => {
            if (signal.aborted) {
                return;
            }
            const members = nodes.filter((other) => other.address.zone === node.address.zone && other !== node);
            const peer = pickOne(random, members);
            if (peer !== undefined && !node.isFrozen) {
                network.sendDatagram(node.address, peer.address, undefined, () => {
                    peer.spread.receiveHeads(node.address, node.store.heads());
                    network.sendDatagram(peer.address, node.address, undefined, () =>
                        node.spread.receiveHeads(peer.address, peer.store.heads()));
                });
            }
            scheduleProbe(node, signal);
        });
    };

    const createNode = (index: number): FleetNode => {
        const zone = `zone-${index % plan.zones}`;
        const link = plan.getLinkClass === undefined ? {} : { linkClass: plan.getLinkClass(index) };
        const address = { id: `node-${index}`, zone, address: "127.0.0.1", controlPort: 1_024 + index, ...link };
        const state = { isUp: false, isFrozen: false, overdueTimers: [], killedAt: -Infinity, canReachPlatform: true };
        return { address, ...createProcess(address), ...state };
    };

    const nodes = Array.from({ length: plan.nodes ?? plan.zones * plan.nodesPerZone }, (_, index) => createNode(index));
    nodes.forEach((node) => nodesById.set(node.address.id, node));

    const getNode = (index: number): FleetNode => {
        const node = nodes[index];
        if (node === undefined) {
            throw new Error(`no node ${index}`);
        }
        return node;
    };

    return {
        clock,
        platform,
        network,
        nodes,
        sent,
        node: getNode,
        zone: (index) => nodes.filter((node) => node.address.zone === `zone-${index}`),
        acceptAt: (node, partner, changes) => {
            const delta = platform.accept(partner, changes);
            const head = platform.head(partner);
            // Has no effect if the node does not hold the base version of the delta. The announcement then makes the
            // node pull the missing versions.
            node.store.offerDeltas(partner, [delta]);
            node.spread.announce(head);
            return head;
        },
        kill: (node) => {
            node.abort.abort();
            node.isUp = false;
            node.killedAt = clock.monotonic();
        },
        restart: startProcess,
        freeze: (node) => {
            node.isFrozen = true;
        },
        unfreeze: (node) => {
            node.isFrozen = false;
            node.overdueTimers.splice(0).forEach((fire) => fire());
        },
        listInformed: (partner) => nodes.filter((node) =>
            node.isUp && node.store.document(partner).digest === platform.head(partner).digest),
        startAll: async () => {
            nodes.forEach(startProcess);
            for (let second = 0; second < 60 && !nodes.every((node) => node.spread.isReady()); second++) {
                await clock.advance(1_000);
            }
        },
        stop: () => nodes.forEach((node) => node.abort.abort()),
    };
};
