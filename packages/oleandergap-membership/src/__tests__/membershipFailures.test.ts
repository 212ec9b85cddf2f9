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
} from "./testZone.js";

const ZONE_SIZE = 24;

const isLowerHalf = (endpoint: Endpoint): boolean => Number(endpoint.address.split(".")[3]) <= ZONE_SIZE / 2;

describe("createMembership when nodes fail", () => {
    it("tells all survivors of a killed member within the bound, and of no other", async () => {
        // Symptom: requests go to a VM that is gone.
        // Sequence: a process is killed without a word.
        // Cause: nobody probes it, or the suspicion never ends.
        const cluster = createTestCluster(1);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const [killedNode, ...survivors] = nodes;
        killedNode?.kill();
        const passed = await measureUntil(cluster, 15_000, () =>
            survivors.every((node) => listMemberIds(node).join() === listNodeIds(survivors).join()));
        expect(passed).to.be.at.most(10_000);
        expect(new Set(listObservedDeaths(survivors))).to.deep.equal(new Set([killedNode?.id]));
    });

    it("readmits a member that was frozen for long, and nobody is declared dead by it", async () => {
        // Symptom: after one process was stopped and resumed, it takes the whole zone for dead, and says so.
        // Sequence: SIGSTOP for longer than every timeout, then SIGCONT; timers run before the waiting datagrams.
        // Cause: timeouts that passed during the pause are taken for silence of the others.
        const cluster = createTestCluster(2);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const frozen = nodes[5];
        const others = nodes.filter((node) => node !== frozen);
        const before = frozen?.membership.self().incarnation ?? 0;
        for (const pause of [1200, 90_000]) {
            frozen?.clock.freeze();
            cluster.network.freeze(createEndpoint(5));
            await cluster.clock.advance(pause);
            frozen?.clock.thaw();
            cluster.network.thaw(createEndpoint(5));
            expect(await measureUntil(cluster, 10_000, () => haveSameMembers(nodes))).to.be.below(10_000);
        }
        expect(frozen?.observedDeaths).to.deep.equal([]);
        expect(listObservedDeaths(others).filter((id) => id !== frozen?.id)).to.deep.equal([]);
        expect(frozen?.membership.self().incarnation).to.be.greaterThan(before);
        expect(frozen?.membership.stats().events.paused).to.equal(2);
    });

    it("tells a member that speaks again that it was declared dead", async () => {
        // Symptom: a member that resumed pings the others and gets answers, but stays out of their lists.
        // Sequence: a process is stopped until the others declare it dead, and what was sent to it meanwhile is lost.
        // Cause: whoever answers its ping keeps to itself what it holds of the sender.
        const cluster = createTestCluster(14);
        const hour = 3_600_000;
        const nodes = await cluster.startZone(3, { options: { reconnectPeriodMs: hour, syncPeriodMs: hour } });
        nodes[1]?.clock.freeze();
        cluster.network.setLinks((_from, to) =>
            to.address === createEndpoint(1).address ? createLossyLink(1) : perfectLink);
        await cluster.clock.advance(30_000);
        expect(nodes.map(listMemberIds).map((ids) => ids.length)).to.deep.equal([2, 3, 2]);
        cluster.network.setLinks(() => perfectLink);
        nodes[1]?.clock.thaw();
        expect(await measureUntil(cluster, 20_000, () => haveSameMembers(nodes))).to.be.below(10_000);
    });

    it("does not suspect the member whose probe was under way when it was paused", async () => {
        // Symptom: right after a pause, a node suspects the member that it was probing.
        // Sequence: a ping is sent, the process stops before the answer arrives, and resumes when the period is over.
        // Cause: time in which the process could not listen counts against others.
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
        paused?.clock.thaw();
        await cluster.clock.advance(300);
        cluster.network.thaw(createEndpoint(5));
        await cluster.clock.advance(5000);
        expect(paused?.membership.stats().events).to.include({ paused: 1, suspicionStarted: 0 });
    });

    it("declares nobody dead by a suspicion that was under way when it was paused", async () => {
        // Symptom: right after a pause, a node declares a healthy member dead.
        // Sequence: a suspicion runs; the process stops before the refutation arrives, resumes when the time is over,
        // and its network a little later.
        // Cause: time in which the process could not listen counts against others.
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
        paused?.clock.thaw();
        await cluster.clock.advance(1500);
        cluster.network.thaw(createEndpoint(5));
        await cluster.clock.advance(20_000);
        expect(paused?.observedDeaths).to.deep.equal([]);
        expect(haveSameMembers(nodes)).to.equal(true);
    });

    it("settles after half of the zone was killed and restarted at once", async () => {
        // Symptom: restarted nodes stay unknown, or their former selves return.
        // Sequence: every second process is killed; a second later all are back at the same addresses.
        // Cause: records of the former process win, or the joins are lost in the storm.
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

    it("joins both halves of a zone again after a cut, without a mass death at the meeting", async () => {
        // Symptom: two halves go on as two zones after the network healed, or every target vanishes when they meet.
        // Sequence: a zone is cut in two, each half declares the other dead, the cut heals.
        // Cause: nobody tries the dead again, or old claims of death are believed about members that answer.
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

    it("replaces a member whose address another one took over", async () => {
        // Symptom: a VM was replaced and two nodes seem to stand at one address, or neither does.
        // Sequence: a process is killed; another one with a new id, and a clock that is behind, starts at its address.
        // Cause: records are told apart by id alone, or the wall clock alone decides who came later.
        const cluster = createTestCluster(8);
        const nodes = await cluster.startZone(12);
        const previousNode = nodes[4];
        previousNode?.kill();
        const replacement = cluster.startNode(4, { id: "node-4-new", clockOffsetMs: -3_600_000 });
        const current = nodes.map((node) => node === previousNode ? replacement : node);
        const passed = await measureUntil(cluster, 20_000, () =>
            current.every((node) => listMemberIds(node).join() === listNodeIds(current).join()));
        expect(passed).to.be.below(2500);
    });

    it("drops and counts whatever is not a datagram of its own zone and cluster", async () => {
        // Symptom: a node ends, or members of another zone appear in its list.
        // Sequence: noise, overlong payloads and another zone's gossip arrive.
        // Cause: what arrives is believed.
        const cluster = createTestCluster(9);
        const [node] = await cluster.startZone(3);
        const foreignNode = cluster.startNode(50, { zone: "zone-b", seeds: [createSeed(0, "zone-b")] });
        await cluster.clock.advance(10_000);
        const overlong = new Uint8Array(MAX_DATAGRAM_BYTES + 1);
        const invalidPayloads = [new Uint8Array(0), Uint8Array.of(0xdd, 1, 255, 255, 255), overlong];
        for (const payload of invalidPayloads) {
            cluster.network.inject(foreignNode.endpoint, createEndpoint(0), payload);
        }
        const dropped = node?.membership.stats().dropped;
        expect(dropped).to.include({ Malformed: 2, Oversized: 1, HandlerFailed: 0 });
        expect(dropped?.OtherZone).to.be.greaterThan(0);
        expect(node?.membership.member(foreignNode.id)).to.equal(undefined);
    });

    it("goes on when a listener throws", async () => {
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
