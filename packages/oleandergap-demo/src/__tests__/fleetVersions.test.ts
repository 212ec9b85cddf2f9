import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { ChangeInput } from "oleandergap-operator";
import { createCaller, type Caller } from "oleandergap-standins";
import type { CellAddress, CellValue, NodeId, PartnerName, Sequence } from "oleandergap-types";
import type { Fleet } from "../fleet/fleet.js";
import { startFleet } from "../fleet/startFleet.js";
import { createGeneratedPlan } from "../plan/generatedPlan.js";
import {
    TIME_LIMIT,
    acceptChange,
    acceptWithRetries,
    choosePortBase,
    parseSequence,
    readActiveVersion,
    readUntilAnswered,
    restoreFleet,
    waitUntil,
    waitUntilActive,
} from "./fleetProbes.js";

/** Two zones with three nodes each, one zone per partner. */
const NODES = 6;
const PARTNERS: readonly PartnerName[] = ["halloway", "kushiro"];
const SERVICE = "service-1";
/** Number of concurrent operators per partner, and of changes that each of them sends. */
const WRITERS_PER_PARTNER = 6;
const CHANGES_PER_WRITER = 5;
const halloway: readonly NodeId[] = ["halloway-1-1", "halloway-1-2", "halloway-1-3"];
const kushiro: readonly NodeId[] = ["kushiro-1-1", "kushiro-1-2", "kushiro-1-3"];

const formatWeightCell = (partner: PartnerName): CellAddress => `services/${SERVICE}/weights/${partner}-1`;

/** Creates a change with new rows that no caller uses. The change is too large for one datagram. */
const createLargeChange = (changeId: string, round: number): ChangeInput => ({
    changeId,
    edits: Array.from({ length: 40 }, (_, index) =>
        ({ cell: `services/unused-service-${round}-${index}/limit`, value: "reading" })),
});

const isSorted = (values: readonly number[]): boolean =>
    values.every((value, index) => value >= (values[index - 1] ?? value));

describe("versions in a fleet of real processes", () => {
    let fleet: Fleet;
    let caller: Caller;

    before(async function () {
        this.timeout(TIME_LIMIT);
        const plan = createGeneratedPlan({ nodes: NODES, zonesPerPartner: 1, portBase: choosePortBase(4) });
        fleet = await startFleet(plan);
        caller = createCaller();
    });

    afterEach(async function () {
        this.timeout(TIME_LIMIT);
        await restoreFleet(fleet);
    });

    after(async function () {
        this.timeout(TIME_LIMIT);
        await caller.close();
        await fleet.stop();
    });

    /** Returns the versions of `partner` that a node reports and from which it serves. */
    const observeVersions = async (partner: PartnerName, nodeId: NodeId): Promise<readonly Sequence[]> => {
        const reported = await readActiveVersion(fleet, partner, nodeId);
        const result = await readUntilAnswered(fleet, caller, { partner, service: SERVICE }, nodeId);
        return [...reported === undefined ? [] : [reported], parseSequence(result.version)];
    };

    /** Polls all nodes until each serves from `newest`. Returns the observed versions per node, in order. */
    const observeVersionsUntil = async (
        partner: PartnerName,
        newest: Sequence,
        nodeIds: readonly NodeId[],
    ): Promise<ReadonlyMap<NodeId, readonly Sequence[]>> => {
        const versionsByNode = await Promise.all(nodeIds.map(async (nodeId) => {
            const versions: Sequence[] = [];
            await waitUntil(fleet, `${nodeId} serves from ${partner}:${newest}`, async () => {
                versions.push(...await observeVersions(partner, nodeId));
                return (versions.at(-1) ?? 0) >= newest;
            });
            versions.push(...await observeVersions(partner, nodeId));
            return [nodeId, versions] as const;
        }));
        return new Map(versionsByNode);
    };

    it("lets a node that was frozen during two changes catch up while the platform is down, and rolls back no node", async () => {
        // Guards against a resumed node that serves or gossips an old version, or stays outdated until the platform
        // recovers. While a node is frozen, the others apply two versions that are too large for a datagram, and the
        // platform goes down. The node resumes with its old version, and only its peers can send it the missed ones.
        const [entryNode = "", , frozenNode = ""] = halloway;
        const otherNodes = [...halloway, ...kushiro].filter((nodeId) => nodeId !== frozenNode);
        const versionBefore = await readActiveVersion(fleet, "halloway", frozenNode) ?? 0;

        fleet.node(frozenNode).freeze();
        await acceptChange(fleet, "halloway", createLargeChange("frozen-change-1", 1), entryNode);
        const newest = await acceptChange(fleet, "halloway", createLargeChange("frozen-change-2", 2), entryNode);
        await waitUntilActive(fleet, "halloway", newest, otherNodes);
        await fleet.platform.setFaults({ outage: "refuse" });
        fleet.node(frozenNode).resume();
        const allNodes = [...otherNodes, frozenNode];
        // The second round of observations detects a node that returned to an older version after the first.
        const observations = [
            await observeVersionsUntil("halloway", newest, allNodes),
            await observeVersionsUntil("halloway", newest, allNodes),
        ];
        await fleet.platform.setFaults({});

        const observationsText = JSON.stringify(observations.map((versionsByNode) => [...versionsByNode]));
        const listVersions = (nodeId: NodeId): readonly Sequence[] =>
            observations.flatMap((versionsByNode) => versionsByNode.get(nodeId) ?? []);
        expect(newest).to.equal(versionBefore + 2);
        expect(isSorted([versionBefore, ...listVersions(frozenNode)]), observationsText).to.equal(true);
        expect(otherNodes.flatMap(listVersions).every((version) => version === newest), observationsText)
            .to.equal(true);
    }).timeout(TIME_LIMIT);

    it("updates a zone that is cut off from the platform with changes accepted in other zones", async () => {
        // Guards against a zone that serves from an old version while its connection to the platform is broken. Changes
        // of both partners are accepted in another zone. The readers of the zone cannot read them from the platform, so
        // only the nodes of the other zone can send them.
        await fleet.platform.setFaults({ cutEntrances: ["kushiro-1"] });
        for (const partner of PARTNERS) {
            const change = { changeId: "cut-off-zone", edits: [{ cell: formatWeightCell(partner), value: 75 }] };
            const newest = await acceptChange(fleet, partner, change, halloway[0] ?? "");
            const observedVersions = await observeVersionsUntil(partner, newest, kushiro);
            expect([...observedVersions.values()].every(isSorted), JSON.stringify([...observedVersions]))
                .to.equal(true);
        }
    }).timeout(TIME_LIMIT);

    it("returns to no older version after a restore of the platform, and continues after the lost version", async () => {
        const allNodes = [...halloway, ...kushiro];
        const [entryNode = ""] = halloway;
        const accept = (value: number): Promise<Sequence> => {
            const edits = [{ cell: formatWeightCell("halloway"), value }];
            return acceptChange(fleet, "halloway", { changeId: `restored-${value}`, edits }, entryNode);
        };
        const keptVersion = await accept(61);
        await waitUntilActive(fleet, "halloway", keptVersion, allNodes);
        await fleet.platform.takeCopy();
        const lostVersion = await accept(62);
        await waitUntilActive(fleet, "halloway", lostVersion, allNodes);
        await fleet.platform.setFaults({ outage: "reset" });
        await fleet.platform.restore();
        await fleet.platform.setFaults({});
        const afterRestore = await observeVersionsUntil("halloway", lostVersion, allNodes);

        const nextVersion = await accept(63);
        const afterNextChange = await observeVersionsUntil("halloway", nextVersion, allNodes);
        expect(nextVersion).to.equal(lostVersion + 1);
        for (const nodeId of allNodes) {
            const versions = [lostVersion, ...afterRestore.get(nodeId) ?? [], ...afterNextChange.get(nodeId) ?? []];
            expect(isSorted(versions), `${nodeId}: ${versions.join()}`).to.equal(true);
        }
    }).timeout(TIME_LIMIT);

    it("restarts several nodes from their peers in each of two outages, even if a restarting node is killed again", async () => {
        // Guards against restarted nodes that do not become ready or serve from an older version than the fleet. During
        // a platform outage half of the nodes, and in the second round a whole zone, die and restart, and one is killed
        // again during its recovery. Nodes store nothing on disk, and the platform cannot provide the accepted
        // versions.
        const restarts = [[...halloway.slice(0, 2), ...kushiro.slice(0, 1)], kushiro];
        for (const [round, nodeIds] of restarts.entries()) {
            const newest = new Map<PartnerName, Sequence>();
            for (const partner of PARTNERS) {
                const edits = [{ cell: formatWeightCell(partner), value: 70 - round }];
                const change = { changeId: `restart-round-${round}`, edits };
                newest.set(partner, await acceptChange(fleet, partner, change, kushiro[0] ?? ""));
                await waitUntilActive(fleet, partner, newest.get(partner) ?? 0, [...halloway, ...kushiro]);
            }

            await fleet.platform.setFaults({ outage: "refuse" });
            await Promise.all(nodeIds.map((nodeId) => fleet.node(nodeId).kill()));
            await Promise.all(nodeIds.map((nodeId) => fleet.node(nodeId).start()));
            const twiceKilledNode = fleet.node(nodeIds[0] ?? "");
            await twiceKilledNode.waitUntilListening(fleet.signal);
            await twiceKilledNode.kill();
            await twiceKilledNode.start();
            await fleet.waitUntilReady();

            for (const partner of PARTNERS) {
                const results = await Promise.all(nodeIds.map((nodeId) =>
                    readUntilAnswered(fleet, caller, { partner, service: SERVICE }, nodeId)));
                const versions = results.map(({ version }) => version);
                expect(versions).to.deep.equal(nodeIds.map(() => `${partner}:${newest.get(partner)}`));
            }
            await fleet.platform.setFaults({});
        }
    }).timeout(TIME_LIMIT);

    it("records each accepted change once with concurrent operators, lost responses and dying readers of a zone", async () => {
        // Guards against missing or duplicate changes in the audit trail, and against outcomes that contradict it.
        // Concurrent writers change one cell through all nodes and retry at the next node, half of the responses to
        // writes are lost after their effect, and two of a zone's three nodes die, at least one of them a reader.
        // Neither operators nor nodes can distinguish a lost response from a lost write.
        interface AcceptedChange { readonly changeId: string; readonly sequence: Sequence }
        const cell = "limits/signing/queue";
        const acceptedChanges = new Map<PartnerName, AcceptedChange[]>(PARTNERS.map((partner) => [partner, []]));
        const refused: string[] = [];
        const killedNodes = halloway.slice(0, 2);

        const allNodes = [...halloway, ...kushiro];

        const write = async (partner: PartnerName, writer: number): Promise<void> => {
            const entries = [...allNodes.slice(writer), ...allNodes.slice(0, writer)];
            for (let turn = 0; turn < CHANGES_PER_WRITER; turn++) {
                const changeId = `race-${partner}-${writer}-${turn}`;
                const edits = [{ cell, value: 100 + WRITERS_PER_PARTNER * turn + writer }];
                const outcome = await acceptWithRetries(fleet, partner, { changeId, edits }, entries);
                if (either.isRight(outcome)) {
                    acceptedChanges.get(partner)?.push({ changeId, sequence: outcome.right.sequence });
                }
                else {
                    refused.push(`${changeId}: ${outcome.left.kind}`);
                }
            }
        };

        const firstVersions = new Map<PartnerName, Sequence>();
        for (const partner of PARTNERS) {
            firstVersions.set(partner, await readActiveVersion(fleet, partner, kushiro[0] ?? "") ?? 0);
        }
        await fleet.platform.setFaults({ byOperation: { Transact: { loseAnswersShare: 0.5 } } });
        const writing = PARTNERS.flatMap((partner) =>
            Array.from({ length: WRITERS_PER_PARTNER }, (_, writer) => write(partner, writer)));
        await Promise.all(killedNodes.map((nodeId) => fleet.node(nodeId).kill()));
        await Promise.all(writing);
        await fleet.platform.setFaults({});
        await Promise.all(killedNodes.map((nodeId) => fleet.node(nodeId).start()));
        await fleet.waitUntilReady();

        expect(refused.filter((line) => !line.endsWith("Conflict"))).to.deep.equal([]);
        for (const partner of PARTNERS) {
            const audit = await fleet.operatorClient(partner).listAudit({ limit: 100 })();
            const entries = either.isRight(audit) ? audit.right.entries : [];
            const raceEntries = entries.filter(({ changeId }) => changeId.startsWith("race-")).reverse();
            const accepted = acceptedChanges.get(partner) ?? [];
            const bySequence = [...accepted].sort((left, right) => left.sequence - right.sequence);
            expect(raceEntries.map(({ changeId, sequence }) => ({ changeId, sequence }))).to.deep.equal(bySequence);
            const start = firstVersions.get(partner) ?? 0;
            expect(raceEntries.map(({ sequence }) => sequence))
                .to.deep.equal(raceEntries.map((_, index) => start + 1 + index));

            const cellChanges = raceEntries.flatMap(({ changes }) => changes);
            const after: readonly (CellValue | undefined)[] = cellChanges.map((cellChange) => cellChange.after);
            expect(cellChanges.slice(1).map((cellChange) => cellChange.before)).to.deep.equal(after.slice(0, -1));
            await waitUntilActive(fleet, partner, start + raceEntries.length, allNodes);
            for (const nodeId of allNodes) {
                const table = await fleet.operatorClient(partner, nodeId).getTable({ source: "inForce" })();
                expect(either.isRight(table) ? table.right.cells[cell] : table.left).to.equal(after.at(-1));
            }
        }
    }).timeout(TIME_LIMIT);
});
