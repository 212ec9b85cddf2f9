/** Test nodes that exchange evidence on crashes over an in-memory network with a shared clock. */
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
    abortController: AbortController;
    isUp: boolean;
}

export interface TestNetwork {
    readonly clock: ManualClock;
    readonly nodes: readonly TestNode[];
    /** Returns the delay after which a datagram arrives, or undefined if it is lost. */
    getDeliveryDelay: (from: TestPeer, to: TestPeer) => Milliseconds | undefined;
    datagramCount: number;
    largestMessageLength: number;
    isTableAvailable: boolean;
    readonly rows: Map<string, unknown>;
    tableCallCount: number;
    readonly kill: (node: TestNode) => void;
    readonly start: (node: TestNode) => void;
}

const CONTACTS_PER_ZONE = 3;
const UNAVAILABLE = either.left({ kind: "Unavailable", detail: "unavailable" } as const);

/** The operations of the platform's table that contained requests need. */
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
            network().tableCallCount += 1;
            if (!network().isTableAvailable) {
                return UNAVAILABLE;
            }
            operations.forEach(apply);
            return either.right({ kind: "Committed" });
        },
        scan: ({ prefix }) => async () => {
            network().tableCallCount += 1;
            return network().isTableAvailable ?
                either.right([...network().rows].filter(([key]) => key.startsWith(prefix)).map(toRow)) :
                UNAVAILABLE;
        },
    };
};

/**
 * Creates a network of `size` nodes, assigned to `zones` zones in turn. Each node has the members of its zone and three
 * contacts in each other zone as peers.
 */
export const createTestNetwork = (size: number, zones: number, random: Random): TestNetwork => {
    const clock = createManualClock();
    const peers = Array.from({ length: size }, (_, index): TestPeer =>
        ({ id: `node-${index}`, zone: `zone-${index % zones}` }));
    let startCount = 0;

    const createNodeContainment = (self: TestPeer, abortController: AbortController): Containment<TestPeer> => {
        startCount += 1;
        const zoneMembers = peers.filter(({ id, zone }) => zone === self.zone && id !== self.id);
        const contacts = Array.from({ length: zones }, (_, zone) => `zone-${zone}`)
            .filter((zone) => zone !== self.zone)
            .flatMap((zone) => peers.filter((peer) => peer.zone === zone).slice(0, CONTACTS_PER_ZONE));
        return createContainment<TestPeer>({
            nodeId: self.id,
            bootId: `boot-${startCount}`,
            clock,
            random,
            logger: createLogger("test"),
            options: defaultContainmentOptions,
            network: {
                members: () => zoneMembers.filter(({ id }) => findNode(id).isUp),
                contacts: () => contacts,
                isInSameZone: ({ zone }) => zone === self.zone,
                isFirstInZone: () => zoneMembers.every(({ id }) => !findNode(id).isUp || self.id < id),
                send: (to, message) => {
                    const text = JSON.stringify(message);
                    network.datagramCount += 1;
                    network.largestMessageLength = Math.max(network.largestMessageLength, text.length);
                    const delay = network.getDeliveryDelay(self, to);
                    if (delay !== undefined) {
                        clock.after(delay, () => {
                            const receiver = findNode(to.id);
                            if (receiver.isUp) {
                                receiver.containment.receive(self, evidenceMessageSchema.parse(JSON.parse(text)));
                            }
                        });
                    }
                },
            },
            tableService: createTestTable(() => network),
            signal: abortController.signal,
        });
    };

    const createNode = (self: TestPeer): TestNode => {
        const abortController = new AbortController();
        return { ...self, containment: createNodeContainment(self, abortController), abortController, isUp: true };
    };

    const findNode = (id: string): TestNode => {
        const node = network.nodes.find((candidate) => candidate.id === id);
        if (node === undefined) {
            throw new RangeError(`unknown node ${id}`);
        }
        return node;
    };

    const network: TestNetwork = {
        clock,
        nodes: peers.map(createNode),
        getDeliveryDelay: () => 1,
        datagramCount: 0,
        largestMessageLength: 0,
        isTableAvailable: true,
        rows: new Map(),
        tableCallCount: 0,
        kill: (node) => {
            node.isUp = false;
            node.abortController.abort();
        },
        start: (node) => {
            node.abortController = new AbortController();
            node.containment = createNodeContainment(node, node.abortController);
            node.isUp = true;
            node.containment.start();
        },
    };
    network.nodes.forEach(({ containment }) => containment.start());
    return network;
};
