import { expect } from "chai";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { createSeededRandom, pickOne } from "oleandergap-utils";
import {
    createTargetDirectory,
    targetDirectoryOptionsSchema,
    type FetchZone,
    type TargetDirectory,
    type ZoneTargetsResponse,
} from "../index.js";
import { createTestCluster, createSeed, createTarget, type TestNode, type TestCluster } from "./testCluster.js";

const service = { partner: "halloway", service: "grant-filer" };

interface TwoZones {
    readonly cluster: TestCluster;
    readonly nodesA: readonly TestNode[];
    readonly nodesB: readonly TestNode[];
    /** Target directory of the first node of zone A. */
    readonly directory: TargetDirectory;
    readonly responses: ZoneTargetsResponse[];
    readonly link: { isPartitioned: boolean };
}

const startTwoZones = async (seed: number): Promise<TwoZones> => {
    const cluster = createTestCluster(seed);
    const random = createSeededRandom(seed);
    const seeds = [createSeed(0, "zone-a"), createSeed(40, "zone-b")];
    const start = (first: number, zone: string): TestNode[] =>
        Array.from({ length: 16 }, (_, index) => cluster.startNode(first + index, { zone, seeds }));
    const nodesA = start(0, "zone-a");
    const nodesB = start(40, "zone-b");
    const responses: ZoneTargetsResponse[] = [];
    const link = { isPartitioned: false };
    const createDirectory = (node: TestNode, fetchZone: FetchZone): TargetDirectory =>
        createTargetDirectory({
            membership: node.membership,
            fetchZone,
            zones: () => ["zone-a", "zone-b"],
            clock: cluster.clock,
            random,
            options: targetDirectoryOptionsSchema.parse({}),
        });
    const servers = nodesB.map((node) =>
        createDirectory(node, () => taskEither.left({ kind: "ZoneUnreachable", detail: "not requested" })));
    const fetchZone: FetchZone = (_zone, request) => async () => {
        await cluster.clock.sleep(5, new AbortController().signal);
        const response = link.isPartitioned ? undefined : pickOne(random, servers)?.answerZoneTargets(request);
        if (response === undefined) {
            return taskEither.left({ kind: "ZoneUnreachable" as const, detail: "unreachable" })();
        }
        responses.push(response);
        return taskEither.right(response)();
    };
    const [first] = nodesA;
    if (first === undefined) {
        throw new Error("no nodes");
    }
    const directory = createDirectory(first, fetchZone);
    directory.start(new AbortController().signal);
    nodesA[3]?.membership.setTarget(createTarget("grant-filer"));
    nodesB[3]?.membership.setTarget(createTarget("grant-filer"));
    nodesB[4]?.membership.setTarget(createTarget("wills-desk"));
    await cluster.clock.advance(15_000);
    return { cluster, nodesA, nodesB, directory, responses: responses, link };
};

const listTargets = (directory: TargetDirectory): readonly string[] =>
    directory.targetsOf(service).map(({ nodeId, leaving }) => `${nodeId}${leaving ? " leaving" : ""}`);

describe("createTargetDirectory", () => {
    it("returns the targets of the local zone immediately and those of a remote zone after a fetch", async () => {
        const { cluster, directory, responses } = await startTwoZones(1);
        expect(responses).to.deep.equal([]);
        expect(listTargets(directory)).to.deep.equal(["node-3"]);
        await cluster.clock.advance(200);
        expect(listTargets(directory)).to.deep.equal(["node-3", "node-43"]);
        expect(directory.targetsOf(service, ["zone-b"]).map((target) => target.nodeId)).to.deep.equal(["node-43"]);
        expect(directory.targetsOf({ ...service, partner: "kushiro" })).to.deep.equal([]);
    });

    it("transfers an unchanged list once and stops fetching when the service is no longer used", async () => {
        const { cluster, directory, responses } = await startTwoZones(2);
        listTargets(directory);
        await cluster.clock.advance(20_000);
        expect(responses.length).to.be.within(10, 14);
        expect(responses.slice(1).every(({ services }) => services[0]?.kind === "Unchanged")).to.equal(true);
        await cluster.clock.advance(15_000);
        const responseCount = responses.length;
        await cluster.clock.advance(60_000);
        expect(responses.length).to.equal(responseCount);
    });

    it("lists a leaving target as leaving in both zones within five seconds", async () => {
        // Guards against a leaving target that still receives new requests, because the update waits for a slow probe
        // round or the list of the remote zone is cached for too long. The target announces to its node that it is
        // leaving.
        for (const seed of [3, 4, 5]) {
            const { cluster, nodesA, nodesB, directory } = await startTwoZones(seed);
            listTargets(directory);
            await cluster.clock.advance(3000);
            nodesA[3]?.membership.setTarget(createTarget("grant-filer", true));
            nodesB[3]?.membership.setTarget(createTarget("grant-filer", true));
            await cluster.clock.advance(5000);
            expect(listTargets(directory)).to.deep.equal(["node-3 leaving", "node-43 leaving"]);
        }
    });

    it("keeps the targets of an unreachable zone and updates them when it is reachable again", async () => {
        // Guards against rejected requests although targets of the remote zone still work, because a failed fetch
        // clears the list or stops further fetches. The zones are partitioned, and a target leaves before the partition
        // heals.
        const { cluster, nodesB, directory, link } = await startTwoZones(6);
        listTargets(directory);
        await cluster.clock.advance(3000);
        link.isPartitioned = true;
        await cluster.clock.advance(60_000);
        expect(listTargets(directory)).to.deep.equal(["node-3", "node-43"]);
        nodesB[3]?.membership.setTarget(undefined);
        link.isPartitioned = false;
        await cluster.clock.advance(5000);
        expect(listTargets(directory)).to.deep.equal(["node-3"]);
        expect(directory.stats().failedFetches).to.be.greaterThan(0);
    });
});
