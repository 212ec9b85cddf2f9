import { expect } from "chai";
import * as fastCheck from "fast-check";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import type { Member } from "oleandergap-types";
import { createSeededRandom, pickOne } from "oleandergap-utils";
import {
    createTargetDirectory,
    targetDirectoryOptionsSchema,
    type FetchZone,
    type TargetDirectory,
} from "../index.js";
import { digestZoneTargets } from "../targetsDigest.js";
import { perfectLink } from "../testing/index.js";
import {
    createTestCluster,
    createEndpoint,
    createLossyLink,
    measureUntil,
    createSeed,
    createTarget,
    type TestNode,
    type TestCluster,
} from "./testCluster.js";

const service = { partner: "halloway", service: "grant-filer" };
const FIRST_B = 40;
const ZONE_SIZE = 16;

interface TwoZones {
    readonly cluster: TestCluster;
    readonly nodeA: TestNode;
    readonly nodesB: readonly TestNode[];
    /** Target directory of `nodeA`. */
    readonly directory: TargetDirectory;
    /** Whether all nodes of zone B send the digest of their zone. */
    readonly ready: { isReady: boolean };
}

/** Starts two zones whose nodes send target digests. Fetches use the contacts of the membership. */
const startTwoZones = async (seed: number): Promise<TwoZones> => {
    const cluster = createTestCluster(seed);
    const random = createSeededRandom(seed);
    const seeds = [createSeed(0, "zone-a"), createSeed(FIRST_B, "zone-b")];
    const directories = new Map<string, TargetDirectory>();
    const killed = new Set<string>();
    const ready = { isReady: true };
    const start = (first: number, zone: string): TestNode[] =>
        Array.from({ length: ZONE_SIZE }, (_, index) => {
            const id = `node-${String(first + index)}`;
            const targetsDigest = (): number | undefined =>
                ready.isReady ? directories.get(id)?.zoneDigest() : undefined;
            const node = cluster.startNode(first + index, { id, zone, seeds, targetsDigest });
            return { ...node, kill: () => {
                killed.add(id);
                node.kill();
            } };
        });
    const nodesA = start(0, "zone-a");
    const nodesB = start(FIRST_B, "zone-b");
    const createFetchZone = (node: TestNode): FetchZone => (zone, request) => async () => {
        await cluster.clock.sleep(5, new AbortController().signal);
        const contact = pickOne(random, node.membership.contactsOf(zone).filter(({ id }) => !killed.has(id)));
        const response = directories.get(contact?.id ?? "")?.answerZoneTargets(request);
        return response === undefined ?
            taskEither.left({ kind: "ZoneUnreachable" as const, detail: "no contact" })() :
            taskEither.right(response)();
    };
    for (const node of [...nodesA, ...nodesB]) {
        directories.set(node.id, createTargetDirectory({
            membership: node.membership,
            fetchZone: createFetchZone(node),
            zones: () => ["zone-a", "zone-b"],
            clock: cluster.clock,
            random,
            options: targetDirectoryOptionsSchema.parse({}),
        }));
    }
    const [nodeA] = nodesA;
    const directory = directories.get("node-0");
    if (directory === undefined || nodeA === undefined) {
        throw new Error("no nodes");
    }
    directory.start(new AbortController().signal);
    nodesA[3]?.membership.setTarget(createTarget("grant-filer"));
    nodesB[3]?.membership.setTarget(createTarget("grant-filer"));
    await cluster.clock.advance(15_000);
    directory.targetsOf(service);
    await cluster.clock.advance(3000);
    return { cluster, nodeA, nodesB, directory, ready };
};

const isLeavingKnown = (directory: TargetDirectory): boolean =>
    directory.targetsOf(service, ["zone-b"]).some(({ leaving }) => leaving);

const measureLeaving = async ({ cluster, nodesB, directory }: TwoZones): Promise<number> => {
    nodesB[3]?.membership.setTarget(createTarget("grant-filer", true));
    return measureUntil(cluster, 20_000, () => isLeavingKnown(directory));
};

describe("digestZoneTargets", () => {
    const members = fastCheck.uniqueArray(fastCheck.record({
        id: fastCheck.integer({ min: 0, max: 20 }).map(String),
        slots: fastCheck.integer({ min: 1, max: 3 }),
        leaving: fastCheck.boolean(),
    }), { selector: ({ id }) => id, maxLength: 8 }).map((drawn) => drawn.map(({ id, slots, leaving }): Member => ({
        id, zone: "zone-a", address: "10.0.0.1", controlPort: 1, gatePort: 2, incarnation: slots, state: "alive",
        revision: 0, target: { ...createTarget("grant-filer", leaving), slots },
    })));
    const formatTargets = (list: readonly Member[]): string =>
        list.map(({ id, target }) => JSON.stringify([id, target])).sort().join();

    it("returns equal digests exactly for equal targets in any order", () => {
        fastCheck.assert(fastCheck.property(members, members, (left, right) => {
            expect(digestZoneTargets(left) === digestZoneTargets(right))
                .to.equal(formatTargets(left) === formatTargets(right));
            const otherwise = [...left].reverse().map((member): Member =>
                ({ ...member, incarnation: 9, state: "suspect" }));
            expect(digestZoneTargets(otherwise)).to.equal(digestZoneTargets(left));
        }));
    });
});

describe("createTargetDirectory with target digests of contacts", () => {
    it("fetches nothing and returns the same array while nothing changes", async () => {
        const { cluster, directory } = await startTwoZones(1);
        const { fetches } = directory.stats();
        const before = directory.targetsOf(service);
        await cluster.clock.advance(20_000);
        expect(directory.stats().fetches - fetches).to.be.at.most(1);
        expect(directory.targetsOf(service)).to.equal(before);
        expect(before.map(({ nodeId }) => nodeId)).to.deep.equal(["node-3", "node-43"]);
    });

    it("lists a leaving target of the remote zone as leaving within five seconds", async () => {
        // Guards against a leaving target that still receives new requests from remote zones, because fetches are
        // skipped for too long or the confirmation of one outdated contact is accepted. Some contacts have already
        // received the update and others have not.
        for (const seed of [3, 4, 5, 6, 7, 8]) {
            expect(await measureLeaving(await startTwoZones(seed))).to.be.at.most(5000);
        }
    });

    it("lists a leaving target within five seconds if half or all datagrams between the zones are lost", async () => {
        // Guards against a leaving target that still receives new requests because contact probes or replies are lost:
        // a probe without a reply must be replaced by a fetch, not by another probe.
        for (const loss of [0.5, 1]) {
            const zones = await startTwoZones(9);
            const isB = ({ address }: { readonly address: string }): boolean =>
                Number(address.split(".").at(-1)) > FIRST_B;
            zones.cluster.network.setLinks((from, to) => isB(from) === isB(to) ? perfectLink : createLossyLink(loss));
            expect(await measureLeaving(zones)).to.be.at.most(5000);
        }
    });

    it("lists a leaving target within five seconds if contacts die or no contact sends a digest", async () => {
        // Guards against a leaving target that still receives new requests because contacts were just killed or
        // restarted: a dead contact must not delay the update, and a node with an incomplete member list must neither
        // confirm a digest nor be probed repeatedly.
        const zones = await startTwoZones(10);
        zones.nodesB.slice(8).forEach((node) => {
            node.kill();
        });
        expect(await measureLeaving(zones)).to.be.at.most(5000);
        const zonesWithoutDigest = await startTwoZones(11);
        zonesWithoutDigest.ready.isReady = false;
        expect(await measureLeaving(zonesWithoutDigest)).to.be.at.most(5000);
    });

    it("probes different contacts in turn", async () => {
        // Guards against a change that is never detected because the same contact is always probed, and that contact is
        // disconnected from its zone and keeps confirming the old digest.
        const { cluster, nodeA, nodesB } = await startTwoZones(13);
        const countProbesReceived = (): number[] =>
            nodesB.map(({ membership }) => membership.stats().traffic.ContactProbe.receivedDatagrams);
        const before = countProbesReceived();
        for (let turn = 0; turn < 30; turn++) {
            nodeA.membership.probeZone("zone-b");
            await cluster.clock.advance(10);
        }
        const probesReceived = countProbesReceived().map((count, index) => count - (before[index] ?? 0));
        expect(probesReceived.filter((count) => count >= 2)).to.have.length.at.least(3);
    });

    it("detects a change while a contact is disconnected from its zone", async () => {
        // Guards against a leaving target that still receives new requests because a contact that is partitioned from
        // its zone still responds to probes with the old digest.
        const zones = await startTwoZones(12);
        const isDisconnected = ({ address }: { readonly address: string }): boolean =>
            address === createEndpoint(FIRST_B).address;
        const isA = ({ address }: { readonly address: string }): boolean =>
            Number(address.split(".").at(-1)) <= FIRST_B;
        zones.cluster.network.setLinks((from, to) =>
            (isDisconnected(from) || isDisconnected(to)) && !isA(from) && !isA(to) ? createLossyLink(1) : perfectLink);
        expect(await measureLeaving(zones)).to.be.at.most(8000);
    });
});
