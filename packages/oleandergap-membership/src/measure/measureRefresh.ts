/**
 * Measures the idle cost per node of tracking the targets of remote availability zones, and the time until a leaving
 * target is known in them, on an in-memory network with a manual clock.
 *
 * Run as `node packages/oleandergap-membership/lib/measure/measureRefresh.js 9 6 10 digests` for 9 zones of 6 nodes and
 * 10 services in use. With `fetches` instead of `digests`, contacts are not probed, so each refresh is a fetch.
 */
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { createLogger } from "oleandergap-logger";
import type { MemberTarget } from "oleandergap-types";
import { createManualClock, createSeededRandom, pickOne } from "oleandergap-utils";
import {
    createMembership,
    createTargetDirectory,
    membershipOptionsSchema,
    targetDirectoryOptionsSchema,
    type FetchZone,
    type Membership,
    type TargetDirectory,
} from "../index.js";
import { createMemoryNetwork } from "../testing/index.js";

/** Size in bytes of the IPv4 and UDP headers of one datagram. */
const DATAGRAM_HEADER_BYTES = 28;
/** Size in bytes of the HTTP headers of a call between peers, in both directions; see docs/DISTRIBUTION.md. */
const CALL_HEADER_BYTES = 223;
const CONTROL_PORT = 17_082;
const SETTLE_MS = 40_000;
const IDLE_MS = 120_000;
const WATCH_STEP_MS = 50;
const WATCH_LIMIT_MS = 20_000;
const LEAVING_ROUNDS = 10;
const MILLISECONDS_PER_SECOND = 1000;
const PERCENT = 100;

interface RunningNode {
    readonly zone: string;
    readonly membership: Membership;
    readonly directory: TargetDirectory;
}

const [zoneCount = 9, nodesPerZone = 6, serviceCount = 10] = process.argv.slice(2, 5).map(Number);
const probesContacts = process.argv[5] !== "fetches";
const clock = createManualClock(1_700_000_000_000);
const random = createSeededRandom(1);
const network = createMemoryNetwork(clock, random);
const zoneNames = Array.from({ length: zoneCount }, (_, index) => `zone-${String(index)}`);
const services = Array.from({ length: serviceCount }, (_, index) => ({
    partner: "halloway",
    service: `service-${String(index)}`,
}));
const nodes: RunningNode[] = [];
const traffic = { calls: 0, callBytes: 0 };

const formatAddress = (zoneIndex: number, index: number): string => `10.0.${String(zoneIndex)}.${String(index + 1)}`;

const createTarget = (index: number, leaving: boolean): MemberTarget => ({
    partner: "halloway",
    service: `service-${String(index % serviceCount)}`,
    slots: 12,
    leaving,
    since: clock.now(),
});

const createFetchZone = (membership: () => Membership): FetchZone => (zone, request) => async () => {
    await clock.sleep(2, new AbortController().signal);
    const contact = pickOne(random, membership().contactsOf(zone));
    const contacted = nodes.find((node) => node.membership.self().id === contact?.id);
    if (contacted === undefined) {
        return taskEither.left({ kind: "ZoneUnreachable" as const, detail: "no contact" })();
    }
    const response = contacted.directory.answerZoneTargets(request);
    traffic.calls += 1;
    traffic.callBytes += CALL_HEADER_BYTES + JSON.stringify(request).length + JSON.stringify(response).length;
    return taskEither.right(response)();
};

const startNode = (zoneIndex: number, index: number): RunningNode => {
    const zone = zoneNames[zoneIndex] ?? "";
    const address = formatAddress(zoneIndex, index);
    const membership: Membership = createMembership({
        self: {
            id: `vm-${String(zoneIndex)}-${String(index)}`, zone, address, controlPort: CONTROL_PORT, gatePort: 17_081,
        },
        clock,
        random,
        transport: network.createTransport({ address, port: CONTROL_PORT }),
        logger: createLogger("membership"),
        options: membershipOptionsSchema.parse({
            seeds: zoneNames.map((name, other) =>
                ({ zone: name, address: formatAddress(other, 0), port: CONTROL_PORT })),
        }),
        piggyback: {
            heads: () => ["halloway", "kushiro"].map((partner) => ({ partner, sequence: 1, digest: "0".repeat(64) })),
        },
        targetsDigest: () => directory.zoneDigest(),
    });
    const directory = createTargetDirectory({
        membership: probesContacts ? membership : { ...membership, probeZone: () => undefined },
        fetchZone: createFetchZone(() => membership),
        zones: () => zoneNames,
        clock,
        random,
        options: targetDirectoryOptionsSchema.parse({ fullRefreshMs: probesContacts ? 30_000 : 10 }),
    });
    void membership.start(new AbortController().signal);
    directory.start(new AbortController().signal);
    membership.setTarget(createTarget(zoneIndex + index, false));
    return { zone, membership, directory };
};

const keepServicesInUse = (): void => {
    nodes.forEach(({ directory }) => {
        services.forEach((service) => directory.targetsOf(service));
    });
    clock.after(MILLISECONDS_PER_SECOND, keepServicesInUse);
};

const countDatagramBytes = (): number =>
    nodes
        .flatMap(({ membership }) => Object.values(membership.stats().traffic))
        .reduce((sum, kind) => sum + kind.sentBytes + kind.sentDatagrams * DATAGRAM_HEADER_BYTES, 0);

const measureIdle = async (): Promise<object> => {
    const before = { ...traffic, datagramBytes: countDatagramBytes() };
    await clock.advance(IDLE_MS);
    const nodeSeconds = nodes.length * IDLE_MS / MILLISECONDS_PER_SECOND;
    return {
        datagramBytesSentPerNodeAndSecond: Math.round((countDatagramBytes() - before.datagramBytes) / nodeSeconds),
        callBytesPerNodeAndSecond: Math.round((traffic.callBytes - before.callBytes) / nodeSeconds),
        callsPerNodeAndSecond: Math.round((traffic.calls - before.calls) / nodeSeconds * PERCENT) / PERCENT,
    };
};

/**
 * Returns the time in milliseconds until half of the nodes of the remote zones, and until all of them, list a leaving
 * target as leaving.
 */
const measureLeaving = async (round: number): Promise<{ readonly halfMs: number; readonly allMs: number }> => {
    const leavingNode = nodes[(round * nodesPerZone + 1 + Math.floor(round / zoneCount)) % nodes.length];
    const others = nodes.filter(({ zone }) => zone !== leavingNode?.zone);
    const target = leavingNode?.membership.self().target;
    if (leavingNode === undefined || target === undefined) {
        throw new Error("The node has no target.");
    }
    leavingNode.membership.setTarget({ ...target, leaving: true });
    const { id } = leavingNode.membership.self();
    const isLeavingKnown = ({ directory }: RunningNode): boolean =>
        directory.targetsOf(target).some(({ nodeId, leaving }) => nodeId === id && leaving);
    let halfMs = WATCH_LIMIT_MS;
    for (let elapsedMs = 0; elapsedMs < WATCH_LIMIT_MS; elapsedMs += WATCH_STEP_MS) {
        const knownCount = others.filter(isLeavingKnown).length;
        halfMs = knownCount * 2 >= others.length ? Math.min(halfMs, elapsedMs) : halfMs;
        if (knownCount === others.length) {
            return { halfMs, allMs: elapsedMs };
        }
        await clock.advance(WATCH_STEP_MS);
    }
    return { halfMs, allMs: WATCH_LIMIT_MS };
};

zoneNames.forEach((_, zoneIndex) => {
    for (let index = 0; index < nodesPerZone; index++) {
        nodes.push(startNode(zoneIndex, index));
    }
});
keepServicesInUse();
await clock.advance(SETTLE_MS);
const idleResults = await measureIdle();
const leaving: { readonly halfMs: number; readonly allMs: number }[] = [];
for (let round = 0; round < LEAVING_ROUNDS; round++) {
    leaving.push(await measureLeaving(round));
    await clock.advance(SETTLE_MS / LEAVING_ROUNDS);
}
process.stdout.write(`${JSON.stringify({
    zones: zoneCount,
    nodesPerZone,
    services: serviceCount,
    asksContacts: probesContacts,
    ...idleResults,
    leavingKnownToHalfMs: leaving.map(({ halfMs }) => halfMs),
    leavingKnownToAllMs: leaving.map(({ allMs }) => allMs),
})}\n`);
