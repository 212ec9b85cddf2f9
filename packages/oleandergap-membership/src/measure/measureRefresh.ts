/**
 * Measures what the targets of other availability zones cost a node at rest, and how soon a leaving target is known
 * elsewhere, over the network in memory and on the manual clock. Run as
 * `node packages/oleandergap-membership/lib/measure/measureRefresh.js 9 6 10 digests` for 9 zones of 6 nodes and 10
 * services in use; `fetches` in place of `digests` leaves the contacts unasked, so that each refresh is a fetch.
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

/** IPv4 and UDP headers of one datagram. */
const DATAGRAM_HEADER_BYTES = 28;
/** HTTP headers of a call between peers, both directions; docs/DISTRIBUTION.md has the run. */
const CALL_HEADER_BYTES = 223;
const CONTROL_PORT = 17_082;
const SETTLE_MS = 40_000;
const REST_MS = 120_000;
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
const asksContacts = process.argv[5] !== "fetches";
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
        return taskEither.left({ kind: "ZoneUnreachable" as const, detail: "nobody" })();
    }
    const answer = contacted.directory.answerZoneTargets(request);
    traffic.calls += 1;
    traffic.callBytes += CALL_HEADER_BYTES + JSON.stringify(request).length + JSON.stringify(answer).length;
    return taskEither.right(answer)();
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
            seeds: zoneNames.map((name, other) => ({ zone: name, address: formatAddress(other, 0), port: CONTROL_PORT })),
        }),
        piggyback: {
            heads: () => ["halloway", "kushiro"].map((partner) => ({ partner, sequence: 1, digest: "0".repeat(64) })),
        },
        targetsDigest: () => directory.zoneDigest(),
    });
    const directory = createTargetDirectory({
        membership: asksContacts ? membership : { ...membership, probeZone: () => undefined },
        fetchZone: createFetchZone(() => membership),
        zones: () => zoneNames,
        clock,
        random,
        options: targetDirectoryOptionsSchema.parse({ fullRefreshMs: asksContacts ? 30_000 : 10 }),
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
    await clock.advance(REST_MS);
    const share = nodes.length * REST_MS / MILLISECONDS_PER_SECOND;
    return {
        datagramBytesSentPerNodeAndSecond: Math.round((countDatagramBytes() - before.datagramBytes) / share),
        callBytesPerNodeAndSecond: Math.round((traffic.callBytes - before.callBytes) / share),
        callsPerNodeAndSecond: Math.round((traffic.calls - before.calls) / share * PERCENT) / PERCENT,
    };
};

/** Time until the nodes of all other zones show a leaving target as such: for half of them, and for the last. */
const measureLeaving = async (round: number): Promise<{ readonly half: number; readonly all: number }> => {
    const leaver = nodes[(round * nodesPerZone + 1 + Math.floor(round / zoneCount)) % nodes.length];
    const others = nodes.filter(({ zone }) => zone !== leaver?.zone);
    const target = leaver?.membership.self().target;
    if (leaver === undefined || target === undefined) {
        throw new Error("no target to leave");
    }
    leaver.membership.setTarget({ ...target, leaving: true });
    const { id } = leaver.membership.self();
    const isKnown = ({ directory }: RunningNode): boolean =>
        directory.targetsOf(target).some(({ nodeId, leaving }) => nodeId === id && leaving);
    let half = WATCH_LIMIT_MS;
    for (let passed = 0; passed < WATCH_LIMIT_MS; passed += WATCH_STEP_MS) {
        const knownCount = others.filter(isKnown).length;
        half = knownCount * 2 >= others.length ? Math.min(half, passed) : half;
        if (knownCount === others.length) {
            return { half, all: passed };
        }
        await clock.advance(WATCH_STEP_MS);
    }
    return { half, all: WATCH_LIMIT_MS };
};

zoneNames.forEach((_, zoneIndex) => {
    for (let index = 0; index < nodesPerZone; index++) {
        nodes.push(startNode(zoneIndex, index));
    }
});
keepServicesInUse();
await clock.advance(SETTLE_MS);
const rest = await measureIdle();
const leaving: { readonly half: number; readonly all: number }[] = [];
for (let round = 0; round < LEAVING_ROUNDS; round++) {
    leaving.push(await measureLeaving(round));
    await clock.advance(SETTLE_MS / LEAVING_ROUNDS);
}
process.stdout.write(`${JSON.stringify({
    zones: zoneCount,
    nodesPerZone,
    services: serviceCount,
    asksContacts,
    ...rest,
    leavingKnownToHalfMs: leaving.map(({ half }) => half),
    leavingKnownToAllMs: leaving.map(({ all }) => all),
})}\n`);
