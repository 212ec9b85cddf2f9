import { expect } from "chai";
import type { Member } from "oleandergap-types";
import type { Endpoint } from "../index.js";
import { perfectLink } from "../testing/index.js";
import {
    haveSameMembers,
    createTestCluster,
    listObservedDeaths,
    createEndpoint,
    listMemberIds,
    createLossyLink,
    measureUntil,
    createTarget,
} from "./testCluster.js";

const ZONE_SIZE = 24;

describe("createMembership on an unreliable network", () => {
    it("probes a suspect again before declaring it dead", async () => {
        // Guards against a healthy member that is declared dead because one refutation was lost. An isolated node
        // suspects another one; after they can communicate again, the next regular probe of the suspect would be too
        // late.
        for (const seed of [12, 13, 14]) {
            const cluster = createTestCluster(seed);
            const nodes = await cluster.startZone(16, { options: { maxHealthScore: 0 } });
            const isolated = nodes[9];
            const isIsolated = (endpoint: Endpoint): boolean => endpoint.address === createEndpoint(9).address;
            cluster.network.setLinks((from, to) =>
                isIsolated(from) || isIsolated(to) ? createLossyLink(1) : perfectLink);
            const findSuspect = (): Member | undefined =>
                isolated?.membership.members().find((member) => member.state === "suspect");
            await measureUntil(cluster, 10_000, () => findSuspect() !== undefined);
            const suspect = findSuspect();
            const reachable = [suspect?.address, createEndpoint(9).address];
            const isConnected = (from: Endpoint, to: Endpoint): boolean =>
                reachable.includes(from.address) && reachable.includes(to.address) ||
                !isIsolated(from) && !isIsolated(to);
            cluster.network.setLinks((from, to) => isConnected(from, to) ? perfectLink : createLossyLink(1));
            await cluster.clock.advance(4000);
            expect(suspect).to.not.equal(undefined);
            expect(isolated?.observedDeaths.map((member) => member.id)).to.not.include(suspect?.id);
        }
    });

    it("detects a change whose updates were all lost by an anti-entropy exchange", async () => {
        // Guards against a node that keeps routing to a target that left. Updates are pushed a limited number of times,
        // and the node misses all copies because it is unreachable for 1.5 seconds.
        const cluster = createTestCluster(13);
        const nodes = await cluster.startZone(12);
        const unreachableAddress = createEndpoint(6).address;
        cluster.network.setLinks((_from, to) => to.address === unreachableAddress ? createLossyLink(1) : perfectLink);
        nodes[3]?.membership.setTarget(createTarget("grant-filer", true));
        await cluster.clock.advance(1500);
        cluster.network.setLinks(() => perfectLink);
        await cluster.clock.advance(1000);
        expect(nodes[6]?.membership.member("node-3")?.target).to.equal(undefined);
        await cluster.clock.advance(40_000);
        expect(nodes[6]?.membership.member("node-3")?.target?.leaving).to.equal(true);
    });

    it("declares no responsive member dead while 30% of all datagrams are lost", async () => {
        // Guards against healthy members that disappear and return because a single lost refutation is enough to
        // declare a member dead. Probes, responses and refutations are lost at random for minutes.
        const cluster = createTestCluster(3);
        const nodes = await cluster.startZone(ZONE_SIZE);
        cluster.network.setLinks(() => createLossyLink(0.3));
        await cluster.clock.advance(200_000);
        expect(listObservedDeaths(nodes)).to.deep.equal([]);
        expect(nodes.every((node) => listMemberIds(node).length === ZONE_SIZE)).to.equal(true);
        cluster.network.setLinks(() => perfectLink);
        expect(await measureUntil(cluster, 40_000, () => haveSameMembers(nodes))).to.be.below(40_000);
    }).timeout(60_000);

    it("tolerates a member that receives badly but sends well, and a pair of disconnected members", async () => {
        // Guards against one member with a faulty receiver that makes the zone suspect healthy members, because only
        // direct probes count or its own suspicions are accepted. 60% of the datagrams to node 7 are lost, and nodes 1
        // and 2 cannot reach each other.
        const cluster = createTestCluster(4);
        const nodes = await cluster.startZone(ZONE_SIZE);
        const [, one, two] = nodes;
        const isPair = (from: Endpoint, to: Endpoint): boolean => [one, two].every((node) =>
            node !== undefined && [from.address, to.address].includes(node.endpoint.address));
        cluster.network.setLinks((from, to) => isPair(from, to) ? createLossyLink(1) : perfectLink);
        await cluster.clock.advance(120_000);
        expect(nodes.map((node) => node.membership.stats().events.suspicionStarted)).to.deep.equal(nodes.map(() => 0));
        cluster.network.setLinks((from, to) => {
            if (isPair(from, to)) {
                return createLossyLink(1);
            }
            return to.address === nodes[7]?.endpoint.address ? createLossyLink(0.6) : perfectLink;
        });
        await cluster.clock.advance(120_000);
        expect(listObservedDeaths(nodes)).to.deep.equal([]);
    });

    it("never accepts a lower incarnation while datagrams are delayed, duplicated and reordered", async () => {
        // Guards against a restarted member that alternates between its old and its new record because the record that
        // arrived last is kept. Members restart and leave while datagrams take up to three seconds and arrive twice.
        const cluster = createTestCluster(7);
        const nodes = await cluster.startZone(12);
        const highest = new Map<string, number>();
        let changeCount = 0;
        nodes[1]?.membership.subscribe(({ member, previous }) => {
            changeCount += 1;
            expect(member.incarnation).to.be.at.least(highest.get(member.id) ?? previous?.incarnation ?? 0);
            highest.set(member.id, member.incarnation);
        });
        cluster.network.setLinks(() => ({ loss: 0.05, duplication: 0.5, minimumDelayMs: 1, maximumDelayMs: 3000 }));
        for (const index of [3, 4, 5, 3, 4, 5]) {
            nodes[index]?.kill();
            nodes[index] = cluster.startNode(index);
            await cluster.clock.advance(4000);
        }
        const leavingNode = nodes[6];
        void leavingNode?.membership.leave();
        await cluster.clock.advance(1000);
        leavingNode?.kill();
        cluster.network.setLinks(() => perfectLink);
        const remaining = nodes.filter((node) => node !== leavingNode);
        expect(await measureUntil(cluster, 60_000, () => haveSameMembers(remaining))).to.be.below(60_000);
        expect(changeCount).to.be.greaterThan(6);
        expect(nodes[1]?.membership.stats().dropped.HandlerFailed).to.equal(0);
    });
});
