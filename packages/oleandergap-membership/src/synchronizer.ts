/**
 * Compares the whole state with another member now and then, and exchanges what differs.
 *
 * Updates are pushed a bounded number of times. A node that missed all copies, or was cut off meanwhile, would never
 * hear of the change; one would see nodes whose member lists differ for ever. Comparing digests finds that, for some
 * hundred bytes when the states are equal.
 */
import type { Clock, Member, Milliseconds, NodeId } from "oleandergap-types";
import { pickOne, type Random } from "oleandergap-utils";
import type { ByteBudget } from "./byteBudget.js";
import { listOtherMembers } from "./memberRound.js";
import { mergeRecords } from "./memberRecord.js";
import type { MemberTable } from "./memberTable.js";
import type { Messenger } from "./messenger.js";
import type { MembershipOptions } from "./options.js";
import { getControlEndpoint } from "./prober.js";
import type { Statistics } from "./statistics.js";
import type { Endpoint } from "./transport.js";

/**
 * After its start, and after a difference, a node compares again within twice this time. Many nodes that start at once
 * tell each other in a zone that each still takes for small, with few copies of each update.
 */
const FOLLOW_UP_MS: Milliseconds = 2000;
const MIN_PERIOD_FRACTION = 0.75;
const PERIOD_SPREAD = 0.5;

export interface Synchronizer {
    readonly poll: () => void;
    /** Introduces this node to an endpoint, which answers with all that this node lacks. */
    readonly join: (endpoint: Endpoint) => void;
    /** Compares states with a node of which this one knows too little. */
    readonly compareWith: (endpoint: Endpoint) => void;
    readonly receiveStart: (from: Endpoint, digest: number) => void;
    readonly receiveBuckets: (from: Endpoint, digests: readonly number[]) => void;
    /** Answers with this node's records of the wanted buckets, but for those that the sender just sent. */
    readonly receiveRecords: (from: Endpoint, requestedBuckets: readonly number[], received: readonly Member[]) => void;
}

export interface SynchronizerDependencies {
    readonly selfId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly table: MemberTable;
    readonly messenger: Messenger;
    readonly budget: ByteBudget;
    readonly statistics: Statistics;
}

/** All that it sends counts against its byte budget; what does not fit is left to a later comparison. */
export const createSynchronizer = (dependencies: SynchronizerDependencies): Synchronizer => {
    const { selfId, clock, random, options, table, messenger, budget, statistics } = dependencies;

    const drawPeriod = (): Milliseconds => options.syncPeriodMs * (MIN_PERIOD_FRACTION + PERIOD_SPREAD * random());

    let nextSyncAt = clock.monotonic() + FOLLOW_UP_MS * (1 + random());

    const recordDifference = (): void => {
        statistics.countEvent("syncDiffered");
        nextSyncAt = Math.min(nextSyncAt, clock.monotonic() + FOLLOW_UP_MS * (MIN_PERIOD_FRACTION + random()));
    };

    const sendWithinBudget = (action: () => number): void => {
        if (budget.canSpend()) {
            budget.spend(action());
        }
        else {
            statistics.countDropped("OverBudget");
        }
    };

    const compareWith = (endpoint: Endpoint): void => {
        sendWithinBudget(() => messenger.send(endpoint, { kind: "SyncStart", digest: table.digest.total() }));
    };

    const sendBuckets = (endpoint: Endpoint): void => {
        const self = table.get(selfId);
        const piggybacked = self === undefined ? {} : { records: [self] };
        const body = { kind: "SyncBuckets", digests: table.digest.buckets() } as const;
        sendWithinBudget(() => messenger.send(endpoint, body, piggybacked));
    };

    const sendBucketRecords = (to: Endpoint, requestedBuckets: readonly number[], records: readonly Member[]): void => {
        const bundle = {
            first: { kind: "SyncRecords", requestedBuckets },
            next: { kind: "SyncRecords", requestedBuckets: [] },
            records,
        } as const;
        messenger.sendRecords(to, bundle, budget);
    };

    const poll = (): void => {
        const now = clock.monotonic();
        if (now < nextSyncAt) {
            return;
        }
        nextSyncAt = now + drawPeriod();
        const peer = pickOne(random, listOtherMembers(table, selfId));
        if (peer !== undefined) {
            compareWith(getControlEndpoint(peer));
        }
    };

    const receiveBuckets = (from: Endpoint, digests: readonly number[]): void => {
        const localDigests = table.digest.buckets();
        const differing = localDigests.flatMap((digest, bucket) => digest === digests[bucket] ? [] : [bucket]);
        if (differing.length > 0) {
            recordDifference();
            sendBucketRecords(from, differing, table.listInBuckets(differing));
        }
    };

    const receiveRecords = (from: Endpoint, requestedBuckets: readonly number[], received: readonly Member[]): void => {
        if (requestedBuckets.length === 0) {
            return;
        }
        const byId = new Map(received.map((record) => [record.id, record]));
        const isKnownToSender = (member: Member): boolean => {
            const record = byId.get(member.id);
            return record !== undefined && mergeRecords(record, member) === record;
        };
        const records = table.listInBuckets(requestedBuckets).filter((member) => !isKnownToSender(member));
        if (records.length > 0) {
            sendBucketRecords(from, [], records);
        }
    };

    return {
        poll,
        join: sendBuckets,
        compareWith,
        receiveStart: (from, digest) => {
            if (digest !== table.digest.total()) {
                recordDifference();
                sendBuckets(from);
            }
        },
        receiveBuckets,
        receiveRecords,
    };
};
