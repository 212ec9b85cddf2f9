import { expect } from "chai";
import type { Member } from "oleandergap-types";
import { formatRosterKey, type FetchContacts } from "../index.js";
import { composeRoster } from "../roster.js";
import { perfectLink } from "../testing/index.js";
import { createRosterStore, type RosterStore } from "./rosterStore.js";
import { createTestCluster, listMemberIds, listNodeIds, type TestNode } from "./testCluster.js";

const readIds = ({ objects }: RosterStore): readonly string[] => {
    const text = Buffer.from(objects.get(formatRosterKey("zone-a")) ?? []).toString("utf8");
    return [...text.matchAll(/"id":"([^"]+)"/g)].map((match) => match[1] ?? "").sort();
};

describe("composeRoster", () => {
    it("keeps existing entries while there is space, except those of members that left", () => {
        // Guards against new nodes that only find one isolated node and form a separate zone with it. A node that is
        // partitioned from its zone, but not from the object store, considers itself the writer and replaces the roster
        // by the members that remain in its member list.
        const self: Member = {
            id: "node-0",
            zone: "zone-a",
            address: "10.0.0.1",
            controlPort: 2,
            gatePort: 1,
            incarnation: 1,
            state: "alive",
            revision: 0,
        };
        const others = ["node-1", "node-2"].map((id) => ({ id, address: "10.0.0.9", controlPort: 2 }));
        const roster = composeRoster("zone-a", [self], (id) => id === "node-2", { zone: "zone-a", members: others });
        expect(roster.members.map(({ id }) => id)).to.deep.equal(["node-0", "node-1"]);
    });
});

describe("createRosterManager", () => {
    it("lets a new node find its zone while the object store is unavailable", async () => {
        // Guards against replacement VMs that receive no requests for eight seconds. The store is down when they start,
        // so without seeds and roster they have no address to contact, and no other node has their address.
        const cluster = createTestCluster(1);
        const roster = createRosterStore();
        const overrides = { seeds: [], objectStore: roster.store, options: { neighbourSpan: 16 } };
        const nodes = [0, 1, 2].map((index) => cluster.startNode(index, overrides));
        await cluster.clock.advance(15_000);
        roster.isDown = true;
        const newNode = cluster.startNode(9, overrides);
        await cluster.clock.advance(2500);
        expect(listMemberIds(newNode)).to.deep.equal(listNodeIds([...nodes, newNode]));
        expect(nodes.map(listMemberIds)).to.deep.equal(nodes.map(() => listNodeIds([...nodes, newNode])));
    });

    it("lets nodes without seeds find each other and writes only after changes", async () => {
        const cluster = createTestCluster(1);
        const roster = createRosterStore();
        const nodes = Array.from({ length: 8 }, (_, index) =>
            cluster.startNode(index, { seeds: [], objectStore: roster.store, options: { rosterPeriodMs: 5000 } }));
        await cluster.clock.advance(60_000);
        expect(nodes.map(listMemberIds)).to.deep.equal(nodes.map(() => listNodeIds(nodes)));
        expect(readIds(roster)).to.deep.equal(listNodeIds(nodes));
        const { reads, writes } = { ...roster.counts };
        await cluster.clock.advance(300_000);
        expect(roster.counts.writes).to.equal(writes);
        expect(roster.counts.reads - reads).to.be.within(2, 8);
    });

    it("finds a remote zone by its roster and backs off while the zone does not respond", async () => {
        // Guards against excessive reads by the nodes of a region that is partitioned from another one, if the roster
        // were read at a fixed period. No seed of the remote zone is known, and the nodes in its roster do not respond
        // for an hour.
        const cluster = createTestCluster(3);
        const roster = createRosterStore();
        const other = cluster.startNode(10, { zone: "zone-b", seeds: [], objectStore: roster.store });
        await cluster.clock.advance(60_000);
        cluster.network.setLinks(() => ({ ...perfectLink, loss: 1 }));
        const requester = cluster.startNode(0, { objectStore: roster.store });
        requester.membership.addZones(["zone-b"]);
        await cluster.clock.advance(3_600_000);
        expect(requester.membership.stats().events.rosterRead).to.be.within(6, 30);
        cluster.network.setLinks(() => perfectLink);
        await cluster.clock.advance(10_000);
        expect(requester.membership.contactsOf("zone-b").map((contact) => contact.id)).to.deep.equal([other.id]);
    });

    it("lets a few members read the rosters of remote zones and pass on the contacts", async () => {
        // Guards against a fleet start in which half of the calls to the store are reads of the rosters of remote
        // zones. All nodes start without seeds and get the zone names from the routing table; without sharing, each
        // node would read every roster.
        const cluster = createTestCluster(5);
        const roster = createRosterStore();
        const nodes: TestNode[] = [];
        const fetchContacts: FetchContacts = async (member) => {
            const contacted = nodes.find(({ id }) => id === member.id);
            return contacted?.membership.zones().flatMap((zone) => contacted.membership.contactsOf(zone)) ?? [];
        };
        const zones = ["zone-a", "zone-b", "zone-c"];
        const start = (index: number): TestNode => cluster.startNode(index, {
            zone: zones[index % 3] ?? "",
            seeds: [],
            objectStore: roster.store,
            fetchContacts,
            options: { rosterPeriodMs: 1000, contactProbePeriodMs: 500 },
        });
        nodes.push(...Array.from({ length: 36 }, (_, index) => start(index)));
        nodes.forEach(({ membership }) => membership.addZones(zones));
        await cluster.clock.advance(8_000);
        for (const { id, membership } of nodes) {
            expect(membership.zones().filter((zone) => membership.contactsOf(zone).length === 0), id).to.deep.equal([]);
        }
        const { reads, writes } = roster.counts;
        // Each node reads the roster of its own zone once or twice to find its zone, and each writer reads it before a
        // write.
        expect(reads).to.be.at.most(2 * nodes.length + writes + 24);
        await cluster.clock.advance(20_000);
        expect(roster.counts.reads - reads).to.be.at.most(12);
    });

    it("does not read the roster if the neighbours respond", async () => {
        // Guards against one or two roster reads per node start, hundreds when a fleet starts. Nodes without seeds must
        // contact the neighbouring addresses, which cost nothing, before they read the roster.
        const cluster = createTestCluster(6);
        const roster = createRosterStore();
        const options = { neighbourSpan: 16, rosterPeriodMs: 1000 };
        const overrides = { seeds: [], objectStore: roster.store, options };
        const nodes = Array.from({ length: 20 }, (_, index) => cluster.startNode(index, overrides));
        await cluster.clock.advance(3000);
        nodes.forEach(({ membership }) => expect(membership.members()).to.have.length(20));
        // The remaining reads are those of the writers before they write.
        expect(roster.counts.reads).to.be.at.most(8);
        const lateNode = cluster.startNode(150, overrides);
        await cluster.clock.advance(2000);
        expect(listMemberIds(lateNode)).to.have.length(21);
    });

    it("merges parts of a zone that cannot find each other as neighbours", async () => {
        // Guards against targets that get no requests from half of the nodes of their zone. The addresses of the zone
        // have a gap, so each part only finds itself. A node that has found one member no longer reads the roster, so
        // the writers have to use the entries they find in it.
        const cluster = createTestCluster(8);
        const roster = createRosterStore();
        const options = { neighbourSpan: 16, rosterPeriodMs: 1000 };
        const overrides = { seeds: [], objectStore: roster.store, options };
        const nodes = [0, 1, 2, 3, 4, 5, 60, 61, 62, 63, 64, 65].map((index) => cluster.startNode(index, overrides));
        await cluster.clock.advance(12_000);
        nodes.forEach((node) => expect(listMemberIds(node), node.id).to.have.length(nodes.length));
    });

    it("tolerates an outdated, invalid or unavailable roster", async () => {
        // Guards against nodes that have found each other through seeds but fail or stay isolated because of the
        // roster. It first contains only dead addresses, then is not valid JSON, and then the object store is
        // unavailable.
        const cluster = createTestCluster(2);
        const roster = createRosterStore();
        const outdatedRoster = { zone: "zone-a", members: [{ id: "old", address: "10.9.9.9", controlPort: 17_082 }] };
        roster.objects.set(formatRosterKey("zone-a"), Buffer.from(JSON.stringify(outdatedRoster)));
        const nodes = [0, 1, 2, 3].map((index) => cluster.startNode(index, { objectStore: roster.store }));
        await cluster.clock.advance(60_000);
        roster.objects.set(formatRosterKey("zone-a"), Buffer.from("{"));
        nodes.push(cluster.startNode(4, { objectStore: roster.store }));
        await cluster.clock.advance(60_000);
        roster.isDown = true;
        nodes.push(cluster.startNode(5, { objectStore: roster.store }));
        await cluster.clock.advance(60_000);
        expect(nodes.map(listMemberIds)).to.deep.equal(nodes.map(() => listNodeIds(nodes)));
        expect(nodes.map((node) => node.membership.stats().dropped.HandlerFailed)).to.deep.equal(nodes.map(() => 0));
    });
});
