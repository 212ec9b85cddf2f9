/** Test cluster of nodes on an in-memory network, for the tests of the membership. */
import { createLogger } from "oleandergap-logger";
import type { Head, Member, MemberTarget, ObjectStore } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import {
    createMembership,
    membershipOptionsSchema,
    type DatagramTransport,
    type Endpoint,
    type FetchContacts,
    type HeadPiggyback,
    type Membership,
    type MembershipOptions,
} from "../index.js";
import {
    createFreezableClock,
    createMemoryNetwork,
    type FreezableClock,
    type LinkBehaviour,
    type MemoryNetwork,
} from "../testing/index.js";

export interface TestNode {
    readonly id: string;
    readonly endpoint: Endpoint;
    readonly clock: FreezableClock;
    readonly membership: Membership;
    readonly kill: () => void;
    /** Members that this node observed as dead, in order of observation. */
    readonly observedDeaths: Member[];
}

export interface TestCluster {
    readonly clock: ManualClock;
    readonly network: MemoryNetwork;
    readonly startNode: (index: number, overrides?: NodeOverrides) => TestNode;
    /** Starts nodes 0 to `count - 1`, all with node 0 as seed, and waits until they have found each other. */
    readonly startZone: (count: number, overrides?: NodeOverrides) => Promise<TestNode[]>;
}

export interface NodeOverrides {
    readonly id?: string;
    readonly zone?: string;
    readonly seeds?: MembershipOptions["seeds"];
    readonly options?: Partial<MembershipOptions>;
    readonly piggyback?: HeadPiggyback;
    readonly objectStore?: ObjectStore;
    readonly targetsDigest?: () => number | undefined;
    readonly fetchContacts?: FetchContacts;
    /** Offset in milliseconds of the node's wall clock to that of the other nodes. */
    readonly clockOffsetMs?: number;
    /** Wraps the transport between the node and the network. */
    readonly wrapTransport?: (transport: DatagramTransport) => DatagramTransport;
}

const CONTROL_PORT = 17_082;
const SETTLE_MS = 15_000;
const STEP_MS = 100;

export const createEndpoint = (index: number): Endpoint => ({
    address: `10.0.${String(Math.floor(index / 200))}.${String(index % 200 + 1)}`,
    port: CONTROL_PORT,
});

export const createSeed = (index: number, zone = "zone-a"): MembershipOptions["seeds"][number] => ({
    zone,
    ...createEndpoint(index),
});

export const createTarget = (service: string, leaving = false): MemberTarget => ({
    partner: "halloway",
    service,
    slots: 12,
    leaving,
    since: 1,
});

export const createHead = (sequence: number): Head => ({
    partner: "halloway",
    sequence,
    digest: sequence.toString(16).padStart(64, "0"),
});

export const createTestCluster = (seed: number): TestCluster => {
    const clock = createManualClock(1_700_000_000_000);
    const random = createSeededRandom(seed);
    const network = createMemoryNetwork(clock, random);

    const startNode = (index: number, overrides: NodeOverrides = {}): TestNode => {
        const { id = `node-${String(index)}`, zone = "zone-a", seeds = [createSeed(0)], objectStore } = overrides;
        const { clockOffsetMs = 0, wrapTransport = (transport) => transport } = overrides;
        const endpoint = createEndpoint(index);
        const nodeClock = createFreezableClock(clock);
        const abortController = new AbortController();
        const membership = createMembership({
            self: { id, zone, address: endpoint.address, controlPort: endpoint.port, gatePort: 17_081 },
            clock: { ...nodeClock, now: () => nodeClock.now() + clockOffsetMs },
            random,
            transport: wrapTransport(network.createTransport(endpoint)),
            logger: createLogger("membership"),
            options: { ...membershipOptionsSchema.parse({ seeds }), ...overrides.options },
            piggyback: overrides.piggyback ?? { heads: () => [createHead(1)] },
            ...(objectStore === undefined ? {} : { objectStore }),
            ...(overrides.fetchContacts === undefined ? {} : { fetchContacts: overrides.fetchContacts }),
            ...(overrides.targetsDigest === undefined ? {} : { targetsDigest: overrides.targetsDigest }),
        });
        const observedDeaths: Member[] = [];
        membership.subscribe(({ member, previous }) => {
            if (member.state === "dead" && previous?.state !== "dead") {
                observedDeaths.push(member);
            }
        });
        void membership.start(abortController.signal);
        const kill = (): void => {
            abortController.abort();
        };
        return { id, endpoint, clock: nodeClock, membership, kill, observedDeaths };
    };

    const startZone = async (count: number, overrides: NodeOverrides = {}): Promise<TestNode[]> => {
        const nodes = Array.from({ length: count }, (_, index) => startNode(index, overrides));
        await clock.advance(SETTLE_MS);
        return nodes;
    };

    return { clock, network, startNode, startZone };
};

/** Returns the sorted ids of the members that the node considers alive or suspect. */
export const listMemberIds = (node: TestNode): readonly string[] =>
    node.membership.members().map((member) => member.id).sort();

export const listNodeIds = (nodes: readonly TestNode[]): readonly string[] => nodes.map((node) => node.id).sort();

/** Returns the sorted ids of the members that the node considers alive. */
export const listAliveIds = (node: TestNode): readonly string[] =>
    node.membership.members().filter((member) => member.state === "alive").map((member) => member.id).sort();

export const createLossyLink = (loss: number): LinkBehaviour => ({
    loss,
    duplication: 0.05,
    minimumDelayMs: 1,
    maximumDelayMs: 20,
});

/**
 * Returns the time until `condition` is true, in milliseconds, or `limit` if it does not become true earlier. Checks
 * the condition every `STEP_MS`.
 */
export const measureUntil = async (cluster: TestCluster, limit: number, condition: () => boolean): Promise<number> => {
    for (let elapsedMs = 0; elapsedMs < limit; elapsedMs += STEP_MS) {
        if (condition()) {
            return elapsedMs;
        }
        await cluster.clock.advance(STEP_MS);
    }
    return limit;
};

export const listObservedDeaths = (nodes: readonly TestNode[]): readonly string[] =>
    nodes.flatMap((node) => node.observedDeaths.map((member) => member.id));

export const haveSameMembers = (nodes: readonly TestNode[]): boolean => {
    const expected = listNodeIds(nodes).join();
    return nodes.every((node) => listAliveIds(node).join() === expected);
};
