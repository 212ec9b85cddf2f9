/**
 * Periodically compares the complete state with another member and exchanges the differences (anti-entropy).
 *
 * Updates are pushed a limited number of times. A node that missed all copies or was disconnected would never receive
 * the change, and the member lists of the nodes would stay different. Comparing digests detects this and costs a few
 * hundred bytes if the states are equal.
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
 * Base delay of the first comparison after the start, and of the comparison that follows a difference. With jitter,
 * both happen within twice this time. If many nodes start at the same time, each of them still assumes a small zone and
 * sends only a few copies of each update.
 */
const FOLLOW_UP_MS: Milliseconds = 2000;
const MIN_PERIOD_FRACTION = 0.75;
const PERIOD_SPREAD_FRACTION = 0.5;

export interface Synchronizer {
    readonly poll: () => void;
    /**
     * Sends the record and bucket digests of this node to an endpoint, which replies with all records that this node
     * lacks.
     */
    readonly join: (endpoint: Endpoint) => void;
    /** Starts a comparison of the complete state with a node. */
    readonly compareWith: (endpoint: Endpoint) => void;
    readonly receiveStart: (from: Endpoint, digest: number) => void;
    readonly receiveBuckets: (from: Endpoint, digests: readonly number[]) => void;
    /** Replies with the records of the requested buckets, except for those that the sender has just sent. */
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

/**
 * Creates a synchronizer. All datagrams that it sends are counted against a byte budget; what exceeds the budget is
 * left to a later comparison.
 */
export const createSynchronizer = (dependencies: SynchronizerDependencies): Synchronizer => {
    const { selfId, clock, random, options, table, messenger, budget, statistics } = dependencies;

    const getRandomPeriod = (): Milliseconds =>
        options.syncPeriodMs * (MIN_PERIOD_FRACTION + PERIOD_SPREAD_FRACTION * random());

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
        nextSyncAt = now + getRandomPeriod();
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
