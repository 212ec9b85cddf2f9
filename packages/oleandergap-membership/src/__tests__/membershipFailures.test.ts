import { expect } from "chai";
import { MAX_DATAGRAM_BYTES, type Endpoint } from "../index.js";
import { perfectLink } from "../testing/index.js";
import {
    haveSameMembers,
    createTestCluster,
    listObservedDeaths,
    createEndpoint,
    createHead,
    listNodeIds,
    listMemberIds,
    createLossyLink,
    measureUntil,
    createSeed,
} from "./testCluster.js";

const ZONE_SIZE = 24;

const isLowerHalf = (endpoint: Endpoint): boolean => Number(endpoint.address.split(".")[3]) <= ZONE_SIZE / 2;

describe("createMembership with failing nodes", () => {
    it("lets all survivors detect a killed member within the bound and declare no other member dead", async () => {
        // Guards against requests to a VM that no longer exists, because no node probes it or because the suspicion
        // never ends. The process is killed without announcing that it leaves.
        const cluster = createTestCluster(1);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const [killedNode, ...survivors] = nodes;
        killedNode?.kill();
        const elapsedMs = await measureUntil(cluster, 15_000, () =>
            survivors.every((node) => listMemberIds(node).join() === listNodeIds(survivors).join()));
        expect(elapsedMs).to.be.at.most(10_000);
        expect(new Set(listObservedDeaths(survivors))).to.deep.equal(new Set([killedNode?.id]));
    });

    it("readmits a member after a long freeze without false deaths", async () => {
        // Guards against a resumed process that declares the whole zone dead. After SIGSTOP for longer than every
        // timeout and SIGCONT, timers run before the buffered datagrams are read, and expired timeouts look like
        // missing responses.
        const cluster = createTestCluster(2);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const frozen = nodes[5];
        const others = nodes.filter((node) => node !== frozen);
        const before = frozen?.membership.self().incarnation ?? 0;
        for (const pause of [1200, 90_000]) {
            frozen?.clock.freeze();
            cluster.network.freeze(createEndpoint(5));
            await cluster.clock.advance(pause);
            frozen?.clock.resume();
            cluster.network.resume(createEndpoint(5));
            expect(await measureUntil(cluster, 10_000, () => haveSameMembers(nodes))).to.be.below(10_000);
        }
        expect(frozen?.observedDeaths).to.deep.equal([]);
        expect(listObservedDeaths(others).filter((id) => id !== frozen?.id)).to.deep.equal([]);
        expect(frozen?.membership.self().incarnation).to.be.greaterThan(before);
        expect(frozen?.membership.stats().events.paused).to.equal(2);
    });

    it("informs a member that sends again that it was declared dead", async () => {
        // Guards against a resumed member that gets responses to its pings but stays excluded from the member lists,
        // because the receivers of its pings do not send it their record of it. All datagrams sent to it while it was
        // stopped are lost.
        const cluster = createTestCluster(14);
        const hour = 3_600_000;
        const nodes = await cluster.startZone(3, { options: { reconnectPeriodMs: hour, syncPeriodMs: hour } });
        nodes[1]?.clock.freeze();
        cluster.network.setLinks((_from, to) =>
            to.address === createEndpoint(1).address ? createLossyLink(1) : perfectLink);
        await cluster.clock.advance(30_000);
        expect(nodes.map(listMemberIds).map((ids) => ids.length)).to.deep.equal([2, 3, 2]);
        cluster.network.setLinks(() => perfectLink);
        nodes[1]?.clock.resume();
        expect(await measureUntil(cluster, 20_000, () => haveSameMembers(nodes))).to.be.below(10_000);
    });

    it("does not suspect a member whose probe was in flight during a pause", async () => {
        // Guards against a suspicion caused by a pause of the local process: it stops after sending a ping, before the
        // response arrives, and resumes after the probe period.
        const cluster = createTestCluster(11);
        const nodes = await cluster.startZone(6);
        const paused = nodes[5];
        cluster.network.setLinks(() => ({ ...perfectLink, minimumDelayMs: 100, maximumDelayMs: 100 }));
        await cluster.clock.advance(3000);
        const pings = (): number => paused?.membership.stats().traffic.Ping.sentDatagrams ?? 0;
        const pingsBefore = pings();
        await measureUntil(cluster, 5000, () => pings() > pingsBefore);
        paused?.clock.freeze();
        cluster.network.freeze(createEndpoint(5));
        await cluster.clock.advance(1000);
        paused?.clock.resume();
        await cluster.clock.advance(300);
        cluster.network.resume(createEndpoint(5));
        await cluster.clock.advance(5000);
        expect(paused?.membership.stats().events).to.include({ paused: 1, suspicionStarted: 0 });
    });

    it("does not declare a suspect dead whose suspicion was running during a pause", async () => {
        // Guards against a healthy member that is declared dead because of a pause of the local process: it stops
        // during a suspicion before the refutation arrives and resumes after the deadline, and its network resumes a
        // little later.
        const cluster = createTestCluster(11);
        const nodes = await cluster.startZone(6);
        const paused = nodes[5];
        cluster.network.setLinks((_from, to) =>
            to.address === createEndpoint(2).address ? createLossyLink(1) : perfectLink);
        const isSuspecting = (): boolean =>
            paused?.membership.members().some(({ state }) => state === "suspect") ?? false;
        await measureUntil(cluster, 20_000, isSuspecting);
        cluster.network.setLinks(() => perfectLink);
        paused?.clock.freeze();
        cluster.network.freeze(createEndpoint(5));
        await cluster.clock.advance(60_000);
        paused?.clock.resume();
        await cluster.clock.advance(1500);
        cluster.network.resume(createEndpoint(5));
        await cluster.clock.advance(20_000);
        expect(paused?.observedDeaths).to.deep.equal([]);
        expect(haveSameMembers(nodes)).to.equal(true);
    });

    it("converges after half of the zone was killed and restarted at the same time", async () => {
        // Guards against restarted nodes that stay unknown or are replaced by their previous records, because those
        // records win or the join messages are lost. Every second process is killed and restarts one second later at
        // the same address.
        const cluster = createTestCluster(5);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const previousIncarnations = new Map(nodes.map((node) => [node.id, node.membership.self().incarnation]));
        nodes.filter((_, index) => index % 2 === 0).forEach((node) => {
            node.kill();
        });
        await cluster.clock.advance(1000);
        const current = nodes.map((node, index) => index % 2 === 0 ? cluster.startNode(index) : node);
        expect(await measureUntil(cluster, 20_000, () => haveSameMembers(current))).to.be.at.most(5000);
        await cluster.clock.advance(15_000);
        expect(haveSameMembers(current)).to.equal(true);
        expect(listObservedDeaths(nodes)).to.deep.equal([]);
        for (const [index, node] of current.entries()) {
            const seen = current[(index + 1) % ZONE_SIZE]?.membership.member(node.id);
            expect(seen?.incarnation).to.equal(node.membership.self().incarnation);
            expect(seen?.incarnation).to.be.at.least(previousIncarnations.get(node.id) ?? 0);
            expect(node.membership.stats().events.refuted).to.equal(0);
        }
    });

    it("merges both halves of a zone after a partition without declaring more members dead", async () => {
        // Guards against two halves that stay separate after a partition has healed, because no node contacts dead
        // members again, and against all targets disappearing when the halves reconnect, because old claims of death
        // are accepted.
        const cluster = createTestCluster(6);
        const nodes = await cluster.startZone(ZONE_SIZE);
        cluster.network.setLinks((from, to) =>
            isLowerHalf(from) === isLowerHalf(to) ? perfectLink : createLossyLink(1));
        await cluster.clock.advance(90_000);
        expect(nodes.map((node) => listMemberIds(node).length)).to.deep.equal(nodes.map(() => ZONE_SIZE / 2));
        const deathsBefore = listObservedDeaths(nodes).length;
        cluster.network.setLinks(() => perfectLink);
        expect(await measureUntil(cluster, 60_000, () => haveSameMembers(nodes))).to.be.at.most(30_000);
        expect(listObservedDeaths(nodes).length).to.equal(deathsBefore);
    });

    it("replaces a member whose address was taken over by another member", async () => {
        // Guards against two members, or none, at the address of a replaced VM. The replacement has a new id and a wall
        // clock that is slow, so neither the id nor the wall clock alone can decide which of them is newer.
        const cluster = createTestCluster(8);
        const nodes = await cluster.startZone(12);
        const previousNode = nodes[4];
        previousNode?.kill();
        const replacement = cluster.startNode(4, { id: "node-4-new", clockOffsetMs: -3_600_000 });
        const current = nodes.map((node) => node === previousNode ? replacement : node);
        const elapsedMs = await measureUntil(cluster, 20_000, () =>
            current.every((node) => listMemberIds(node).join() === listNodeIds(current).join()));
        expect(elapsedMs).to.be.below(2500);
    });

    it("drops and counts datagrams that do not belong to its zone and cluster", async () => {
        // Guards against a node that crashes or lists members of a remote zone after it received invalid payloads,
        // oversized payloads or gossip of that zone.
        const cluster = createTestCluster(9);
        const [node] = await cluster.startZone(3);
        const foreignNode = cluster.startNode(50, { zone: "zone-b", seeds: [createSeed(0, "zone-b")] });
        await cluster.clock.advance(10_000);
        const oversizedPayload = new Uint8Array(MAX_DATAGRAM_BYTES + 1);
        const invalidPayloads = [new Uint8Array(0), Uint8Array.of(0xdd, 1, 255, 255, 255), oversizedPayload];
        for (const payload of invalidPayloads) {
            cluster.network.inject(foreignNode.endpoint, createEndpoint(0), payload);
        }
        const dropped = node?.membership.stats().dropped;
        expect(dropped).to.include({ Malformed: 2, Oversized: 1, HandlerFailed: 0 });
        expect(dropped?.OtherZone).to.be.greaterThan(0);
        expect(node?.membership.member(foreignNode.id)).to.equal(undefined);
    });

    it("continues to work after a listener has thrown an error", async () => {
        const cluster = createTestCluster(10);
        const failingNode = cluster.startNode(0, {
            piggyback: {
                heads: () => [createHead(1)],
                receiveHeads: () => {
                    throw new Error("listener failed");
                },
            },
        });
        const peer = cluster.startNode(1, { piggyback: { heads: () => [createHead(2)] } });
        await cluster.clock.advance(20_000);
        expect(failingNode.membership.stats().dropped.HandlerFailed).to.be.greaterThan(0);
        expect(listObservedDeaths([peer])).to.deep.equal([]);
    });
});
