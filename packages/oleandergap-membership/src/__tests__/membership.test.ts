import { expect } from "chai";
import type { Head } from "oleandergap-types";
import type { Contact, HeadPiggyback, MembershipStats } from "../index.js";
import { perfectLink } from "../testing/index.js";
import {
    createTestCluster,
    createEndpoint,
    createHead,
    listNodeIds,
    listMemberIds,
    createSeed,
    createTarget,
} from "./testCluster.js";

const countSentBytes = (stats: MembershipStats): number =>
    Object.values(stats.traffic).reduce((sum, traffic) => sum + traffic.sentBytes + traffic.receivedBytes, 0);

describe("createMembership", () => {
    it("announces a change of a target to every member within two seconds", async () => {
        const cluster = createTestCluster(1);
        const nodes = await cluster.startZone(40);
        nodes[3]?.membership.setTarget(createTarget("grant-filer"));
        await cluster.clock.advance(2000);
        nodes[3]?.membership.setTarget(createTarget("grant-filer", true));
        await cluster.clock.advance(2000);
        for (const node of nodes) {
            expect(node.membership.member("node-3")?.target?.leaving).to.equal(true);
        }
    });

    it("removes a leaving member from all member lists immediately, without a suspicion", async () => {
        const cluster = createTestCluster(2);
        const nodes = await cluster.startZone(20);
        const leaving = nodes[3]?.membership.leave();
        await cluster.clock.advance(2000);
        await leaving;
        nodes[3]?.kill();
        expect(nodes.filter((node) => node.id !== "node-3" && listMemberIds(node).includes("node-3"))).to.deep.equal([]);
        await cluster.clock.advance(20_000);
        expect(nodes[0]?.membership.member("node-3")?.state).to.equal("left");
    });

    it("has the same idle traffic per node in a small and a larger zone", async () => {
        const rates: number[] = [];
        for (const size of [10, 40]) {
            const cluster = createTestCluster(3);
            const nodes = await cluster.startZone(size);
            await cluster.clock.advance(20_000);
            const before = nodes.map((node) => countSentBytes(node.membership.stats()));
            await cluster.clock.advance(60_000);
            const bytes = nodes.map((node, index) => countSentBytes(node.membership.stats()) - (before[index] ?? 0));
            rates.push(bytes.reduce((sum, one) => sum + one, 0) / size / 60);
        }
        expect(Math.max(...rates)).to.be.below(400);
        expect(Math.abs((rates[0] ?? 0) - (rates[1] ?? 0))).to.be.below(20);
    });

    it("does not gossip the records that a joining member receives", async () => {
        const cluster = createTestCluster(10);
        await cluster.startZone(40);
        const joiner = cluster.startNode(40);
        await cluster.clock.advance(10_000);
        expect(listMemberIds(joiner).length).to.equal(41);
        expect(joiner.membership.stats().traffic.Gossip.sentBytes).to.be.below(3000);
    });

    it("exchanges heads with members and with contacts in remote zones in both directions", async () => {
        const cluster = createTestCluster(4);
        const heads = new Map<number, Head>();
        const startNode = (index: number, zone: string): ReturnType<typeof cluster.startNode> =>
            cluster.startNode(index, {
                zone,
                seeds: [createSeed(0, "zone-a"), createSeed(10, "zone-b")],
                piggyback: {
                    heads: () => [heads.get(index) ?? createHead(1)],
                    receiveHeads: (_from, received) => {
                        const newerHead = received.find((head) => head.sequence > (heads.get(index)?.sequence ?? 1));
                        if (newerHead !== undefined) {
                            heads.set(index, newerHead);
                        }
                    },
                },
            });
        [0, 1, 2, 3].forEach((index) => startNode(index, "zone-a"));
        [10, 11, 12, 13].forEach((index) => startNode(index, "zone-b"));
        await cluster.clock.advance(30_000);
        for (const [index, sequence] of [[2, 5], [12, 6]] as const) {
            heads.set(index, createHead(sequence));
            await cluster.clock.advance(15_000);
            const heldSequences = [0, 1, 2, 3, 10, 11, 12, 13].map((other) => heads.get(other)?.sequence);
            expect(heldSequences).to.deep.equal(heldSequences.map(() => sequence));
        }
    });

    it("exchanges heads with the reply to a probe, regardless of which node has the newer ones", async () => {
        for (const [proberHead, responderHead] of [[7, 1], [1, 7]] as const) {
            const cluster = createTestCluster(8);
            const receivedSequences: number[] = [];
            const createPiggyback = (sequence: number): HeadPiggyback => ({
                heads: () => [createHead(sequence)],
                receiveHeads: (_from, heads) => {
                    receivedSequences.push(...heads.map((head) => head.sequence));
                },
            });
            const slowProbeOptions = { probePeriodMs: 3_600_000 };
            cluster.startNode(0, { piggyback: createPiggyback(responderHead), options: slowProbeOptions });
            cluster.startNode(1, { piggyback: createPiggyback(proberHead) });
            await cluster.clock.advance(3000);
            expect(receivedSequences).to.include(7);
        }
    });

    it("pushes heads to one member together with the identity of the sender", async () => {
        const cluster = createTestCluster(5);
        const nodes = await cluster.startZone(2);
        const received: [Contact, readonly Head[]][] = [];
        nodes[1]?.membership.subscribeHeads((from, heads) => {
            received.push([from, heads]);
        });
        nodes[0]?.membership.send(
            createEndpoint(1).address,
            createEndpoint(1).port,
            { kind: "Heads", heads: [createHead(9)] },
        );
        await cluster.clock.advance(10);
        const { address, port: controlPort } = createEndpoint(0);
        expect(received).to.deep.equal([[{ id: "node-0", zone: "zone-a", address, controlPort }, [createHead(9)]]]);
    });

    it("finds contacts in a remote zone and replaces dead contacts", async () => {
        const cluster = createTestCluster(6);
        const seeds = [createSeed(0, "zone-a"), createSeed(10, "zone-b")];
        const nodesA = [0, 1, 2].map((index) => cluster.startNode(index, { zone: "zone-a", seeds }));
        const nodesB = [10, 11, 12, 13, 14, 15].map((index) => cluster.startNode(index, { zone: "zone-b", seeds }));
        await cluster.clock.advance(60_000);
        const contactsOf = (): readonly Contact[] => nodesA[1]?.membership.contactsOf("zone-b") ?? [];
        expect(contactsOf().length).to.equal(3);
        const killedIds = contactsOf().slice(0, 2).map((contact) => contact.id);
        const killed = nodesB.filter((node) => killedIds.includes(node.id));
        killed.forEach((node) => {
            node.kill();
        });
        await cluster.clock.advance(90_000);
        const living = listNodeIds(nodesB.filter((node) => !killed.includes(node)));
        for (let call = 0; call < 20; call++) {
            expect(contactsOf().length).to.equal(3);
            expect(living).to.include.members(contactsOf().map((contact) => contact.id));
        }
        expect(nodesA[1]?.membership.zones()).to.deep.equal(["zone-b"]);
        expect(listMemberIds(nodesA[1] ?? cluster.startNode(99))).to.deep.equal(listNodeIds(nodesA));
    });

    it("lists an unresponsive contact last and shuffles the other contacts", async () => {
        const cluster = createTestCluster(9);
        const seeds = [createSeed(0, "zone-a"), createSeed(10, "zone-b")];
        const requester = cluster.startNode(0, { zone: "zone-a", seeds });
        [10, 11, 12].forEach((index) => cluster.startNode(index, { zone: "zone-b", seeds }));
        await cluster.clock.advance(30_000);
        const [unresponsive] = requester.membership.contactsOf("zone-b");
        if (unresponsive !== undefined) {
            requester.membership.reportUnresponsive(unresponsive);
        }
        const orders = Array.from({ length: 20 }, () => requester.membership.contactsOf("zone-b").map(({ id }) => id));
        expect(orders.map((order) => order[2])).to.deep.equal(orders.map(() => unresponsive?.id));
        expect(new Set(orders.map((order) => order[0])).size).to.equal(2);
    });

    it("keeps the contacts of a disconnected zone", async () => {
        const cluster = createTestCluster(7);
        const seeds = [createSeed(0, "zone-a"), createSeed(10, "zone-b")];
        const [requester] = [0, 1].map((index) => cluster.startNode(index, { zone: "zone-a", seeds }));
        [10, 11, 12].forEach((index) => cluster.startNode(index, { zone: "zone-b", seeds }));
        await cluster.clock.advance(30_000);
        cluster.network.setLinks(() => ({ ...perfectLink, loss: 1 }));
        await cluster.clock.advance(120_000);
        expect(requester?.membership.contactsOf("zone-b").length).to.equal(3);
    });
});
