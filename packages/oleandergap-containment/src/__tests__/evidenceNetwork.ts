/** Nodes that tell each other of crashes, over a network in memory and on one clock. */
import { createLogger } from "oleandergap-logger";
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds, TableOperation, TableRow, TableService } from "oleandergap-types";
import { createManualClock, type ManualClock, type Random } from "oleandergap-utils";
import { createContainment, type Containment } from "../containment.js";
import { evidenceMessageSchema } from "../evidenceMessage.js";
import { defaultContainmentOptions } from "../options.js";

export interface TestPeer {
    readonly id: string;
    readonly zone: string;
}

export interface TestNode extends TestPeer {
    containment: Containment<TestPeer>;
    life: AbortController;
    isUp: boolean;
}

export interface TestNetwork {
    readonly clock: ManualClock;
    readonly nodes: readonly TestNode[];
    /** Decides whether a datagram arrives, and after how long. */
    carry: (from: TestPeer, to: TestPeer) => Milliseconds | undefined;
    datagrams: number;
    largest: number;
    isStoreUp: boolean;
    readonly rows: Map<string, unknown>;
    storeCalls: number;
    readonly kill: (node: TestNode) => void;
    readonly start: (node: TestNode) => void;
}

const CONTACTS_PER_ZONE = 3;
const AWAY = either.left({ kind: "Unavailable", detail: "away" } as const);

/** The platform's table as far as contained requests need it. */
const createTestTable = (network: () => TestNetwork): Pick<TableService, "transact" | "scan"> => {
    const apply = (operation: TableOperation): void => {
        if (operation.kind === "Put") {
            network().rows.set(operation.key, operation.value);
        }
        if (operation.kind === "Delete") {
            network().rows.delete(operation.key);
        }
    };
    const toRow = ([key, value]: readonly [string, unknown]): TableRow =>
        ({ key, value, version: { era: 1, version: 1 } });
    return {
        transact: (operations) => async () => {
            network().storeCalls += 1;
            if (!network().isStoreUp) {
                return AWAY;
            }
            operations.forEach(apply);
            return either.right({ kind: "Committed" });
        },
        scan: ({ prefix }) => async () => {
            network().storeCalls += 1;
            return network().isStoreUp ?
                either.right([...network().rows].filter(([key]) => key.startsWith(prefix)).map(toRow)) :
                AWAY;
        },
    };
};

/** `size` nodes in turn over `zones`; each knows its zone and three contacts of each other one. */
export const createTestNetwork = (size: number, zones: number, random: Random): TestNetwork => {
    const clock = createManualClock();
    const peers = Array.from({ length: size }, (_, index): TestPeer =>
        ({ id: `node-${index}`, zone: `zone-${index % zones}` }));
    let starts = 0;

    const createNodeContainment = (self: TestPeer, life: AbortController): Containment<TestPeer> => {
        starts += 1;
        const near = peers.filter(({ id, zone }) => zone === self.zone && id !== self.id);
        const contacts = Array.from({ length: zones }, (_, zone) => `zone-${zone}`)
            .filter((zone) => zone !== self.zone)
            .flatMap((zone) => peers.filter((peer) => peer.zone === zone).slice(0, CONTACTS_PER_ZONE));
        return createContainment<TestPeer>({
            nodeId: self.id,
            bootId: `boot-${starts}`,
            clock,
            random,
            logger: createLogger("test"),
            options: defaultContainmentOptions,
            network: {
                members: () => near.filter(({ id }) => find(id).isUp),
                contacts: () => contacts,
                isNear: ({ zone }) => zone === self.zone,
                isFirst: () => near.every(({ id }) => !find(id).isUp || self.id < id),
                send: (to, message) => {
                    const text = JSON.stringify(message);
                    network.datagrams += 1;
                    network.largest = Math.max(network.largest, text.length);
                    const delay = network.carry(self, to);
                    if (delay !== undefined) {
                        clock.after(delay, () => {
                            const receiver = find(to.id);
                            if (receiver.isUp) {
                                receiver.containment.receive(self, evidenceMessageSchema.parse(JSON.parse(text)));
                            }
                        });
                    }
                },
            },
            tableService: createTestTable(() => network),
            signal: life.signal,
        });
    };

    const createNode = (self: TestPeer): TestNode => {
        const life = new AbortController();
        return { ...self, containment: createNodeContainment(self, life), life, isUp: true };
    };

    const find = (id: string): TestNode => {
        const node = network.nodes.find((candidate) => candidate.id === id);
        if (node === undefined) {
            throw new RangeError(`no node ${id}`);
        }
        return node;
    };

    const network: TestNetwork = {
        clock,
        nodes: peers.map(createNode),
        carry: () => 1,
        datagrams: 0,
        largest: 0,
        isStoreUp: true,
        rows: new Map(),
        storeCalls: 0,
        kill: (node) => {
            node.isUp = false;
            node.life.abort();
        },
        start: (node) => {
            node.life = new AbortController();
            node.containment = createNodeContainment(node, node.life);
            node.isUp = true;
            node.containment.start();
        },
    };
    network.nodes.forEach(({ containment }) => containment.start());
    return network;
};
