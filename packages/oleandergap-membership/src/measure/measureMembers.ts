/**
 * Runs members over real UDP on loopback in one process and measures the cost of an idle member and the time until an
 * update and a death are known to all members. Prints one JSON object.
 *
 * Run as `node packages/oleandergap-membership/lib/measure/measureMembers.js 60 20` for 60 members and 20 idle seconds.
 */
import { createLogger } from "oleandergap-logger";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import { createMembership, createUdpTransport, membershipOptionsSchema, type Membership } from "../index.js";

const ADDRESS = "127.0.0.1";
/** Size in bytes of the IPv4 and UDP headers of one datagram. */
const HEADER_BYTES = 28;
const SETTLE_MS = 15_000;
const WATCH_STEP_MS = 20;
const WATCH_LIMIT_MS = 30_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const MILLISECONDS_PER_SECOND = 1000;

interface RunningMember {
    readonly membership: Membership;
    readonly abortController: AbortController;
}

const clock = createSystemClock();
const random = createSeededRandom(Date.now());
const neverAborted = new AbortController().signal;

const startMember = async (index: number, seedPort: number | undefined): Promise<RunningMember> => {
    const logger = createLogger("membership");
    const membership = createMembership({
        self: { id: `vm-${String(index)}`, zone: "hall-a", address: ADDRESS, controlPort: 0, gatePort: 17_081 },
        clock,
        random,
        transport: createUdpTransport({ address: ADDRESS, port: 0, logger }),
        logger,
        options: membershipOptionsSchema.parse({ joinTimeoutMs: 100 }),
        piggyback: {
            heads: () => ["halloway", "kushiro"].map((partner) => ({ partner, sequence: 1, digest: "0".repeat(64) })),
        },
    });
    const abortController = new AbortController();
    if (seedPort !== undefined) {
        membership.join([{ address: ADDRESS, port: seedPort }]);
    }
    await membership.start(abortController.signal);
    return { membership, abortController };
};

const startMembers = async (count: number): Promise<readonly RunningMember[]> => {
    const first = await startMember(0, undefined);
    const seedPort = first.membership.self().controlPort;
    const rest = Array.from({ length: count - 1 }, (_, index) => startMember(index + 1, seedPort));
    return [first, ...await Promise.all(rest)];
};

/**
 * Returns the bytes sent by all members, including IP and UDP headers. Each datagram is received once, so the result is
 * valid for each direction.
 */
const countSentBytes = (members: readonly RunningMember[]): number =>
    members
        .flatMap(({ membership }) => Object.values(membership.stats().traffic))
        .reduce((sum, kind) => sum + kind.sentBytes + kind.sentDatagrams * HEADER_BYTES, 0);

const waitFor = async (condition: () => boolean): Promise<number> => {
    const start = clock.monotonic();
    while (!condition() && clock.monotonic() - start < WATCH_LIMIT_MS) {
        await clock.sleep(WATCH_STEP_MS, neverAborted);
    }
    return Math.round(clock.monotonic() - start);
};

const countSuspicions = (members: readonly RunningMember[]): number =>
    members.reduce((sum, { membership }) => sum + membership.stats().events.suspicionStarted, 0);

const measureIdle = async (members: readonly RunningMember[], seconds: number): Promise<object> => {
    const bytesBefore = countSentBytes(members);
    const suspicionsBefore = countSuspicions(members);
    const cpuBefore = process.cpuUsage();
    await clock.sleep(seconds * MILLISECONDS_PER_SECOND, neverAborted);
    const { user, system } = process.cpuUsage(cpuBefore);
    const perNodeAndSecond = members.length * seconds;
    return {
        sentBytesPerNodeAndSecond: Math.round((countSentBytes(members) - bytesBefore) / perNodeAndSecond),
        suspicionsOfLivingMembers: countSuspicions(members) - suspicionsBefore,
        processorMsPerNodeAndSecond:
            Math.round((user + system) / MICROSECONDS_PER_MILLISECOND / perNodeAndSecond * 1000) / 1000,
    };
};

const measureEvents = async (members: readonly RunningMember[]): Promise<object> => {
    const [first, second, ...rest] = members;
    const target = { partner: "halloway", service: "grant-filer", slots: 12, leaving: true, since: 0 };
    first?.membership.setTarget(target);
    const leavingKnownToAllMs = await waitFor(() =>
        members.every(({ membership }) => membership.member("vm-0")?.target?.leaving === true));
    second?.abortController.abort();
    const deathKnownToAllMs = await waitFor(() =>
        rest.every(({ membership }) => membership.member("vm-1")?.state === "dead"));
    const nodesWithOtherLists = rest.filter(({ membership }) => membership.members().length !== members.length - 1);
    return { leavingKnownToAllMs, deathKnownToAllMs, nodesWithOtherLists: nodesWithOtherLists.length };
};

const count = Number(process.argv[2] ?? "22");
const seconds = Number(process.argv[3] ?? "20");
const members = await startMembers(count);
await clock.sleep(SETTLE_MS, neverAborted);
const joinedCount = members.filter(({ membership }) => membership.members().length === count).length;
const idleResults = await measureIdle(members, seconds);
const eventResults = await measureEvents(members);
members.forEach(({ abortController }) => {
    abortController.abort();
});
console.log(JSON.stringify({ members: count, seconds, joined: joinedCount, ...idleResults, ...eventResults }));
