/**
 * Ownership of partitions by this node: it renews the lease, takes the partitions that this node should own, hands over
 * the others, and decides on keys without calling the platform.
 */
import type { Clock, NodeId, ServiceReference, TableService } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { raceAbort, type Random } from "oleandergap-utils";
import { createBatchReader } from "../claim/batchReader.js";
import { createBatchWriter } from "../claim/batchWriter.js";
import { createPlatformCircuitBreaker } from "../claim/platformCircuitBreaker.js";
import { createSettler } from "../claim/settler.js";
import type { ClaimOptions, OwnershipOptions } from "../options.js";
import { createFormerLeaseFencer } from "./formerLeaseFencer.js";
import { createKeyAcceptance, type AcceptKey } from "./keyAcceptance.js";
import { createKeyRegistry } from "./keyRegistry.js";
import { createNodeLease, type NodeLease } from "./nodeLease.js";
import {
    formatPartitionKey,
    type Holder,
    type KeyRange,
    type PartitionReference,
    type PartitionRow,
} from "./ownershipRows.js";
import { createPartitionHolding, type PartitionHolding } from "./partitionHolding.js";
import { rankOwners } from "./partitions.js";
import { createTakeover } from "./takeover.js";

export interface PartitionOwnership {
    /** Decides immediately on a key that contains a timestamp; `request.key` is already parsed. */
    readonly acceptKey: AcceptKey;
    /** Renews the lease and takes and hands over partitions until `signal` aborts. */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** Performs one round of the work of `start`. */
    readonly tick: () => Promise<void>;
    /** Hands all partitions over; resolves when none is left or when `signal` aborts. */
    readonly leave: (signal: AbortSignal) => Promise<void>;
    readonly stats: () => { readonly held: number; readonly keys: number; readonly transactions: number };
}

export interface PartitionOwnershipDependencies {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly nodeId: NodeId;
    readonly bootId: string;
    readonly logger: Logger;
    readonly claimOptions: ClaimOptions;
    readonly options: OwnershipOptions;
    readonly signal: AbortSignal;
    /** Returns the services that have a target on this node's VM. */
    readonly services: () => readonly ServiceReference[];
    /**
     * Returns the nodes that may own keys of a service: alive nodes that the routing table allows and that have a
     * target of the service that is not leaving.
     */
    readonly members: (service: ServiceReference) => readonly NodeId[];
    /** Returns false when the membership has declared a node dead or removed it. */
    readonly isMember: (node: NodeId) => boolean;
}

/** Longest time between two rounds while the partitions are handed over, in milliseconds. */
const MAX_HANDOVER_TICK = 1000;

export const createPartitionOwnership = (dependencies: PartitionOwnershipDependencies): PartitionOwnership => {
    const { clock, nodeId, bootId, claimOptions, options, signal, services, members } = dependencies;
    const batchDependencies = { ...dependencies, options: claimOptions };
    const reader = createBatchReader(batchDependencies);
    const writer = createBatchWriter(batchDependencies);
    const circuitBreaker = createPlatformCircuitBreaker(batchDependencies);
    const recordOptions = { ...claimOptions, batchWindowMs: options.recordWindowMs };
    const recordWriter = createBatchWriter({ ...dependencies, options: recordOptions });
    const settler = createSettler({ ...batchDependencies, reader, writer: recordWriter, circuitBreaker });
    const holdings = new Map<string, PartitionHolding>();
    const onEvicted = (partitionKey: string, keyTime: number): void =>
        holdings.get(partitionKey)?.raiseRecordedUpTo(keyTime);
    const keyRegistry = createKeyRegistry({ ...dependencies, settler, onEvicted });
    /** Before a partition has its first holder, all its keys are claimed in the platform's table. */
    const createVacantRow = (): PartitionRow =>
        ({ unknownUpTo: 0, recordedUpTo: clock.now() + claimOptions.keyClockToleranceMs });
    const takeover = createTakeover({ ...dependencies, reader, writer, createVacantRow });
    const fenceFormerLeases = createFormerLeaseFencer({ ...dependencies, writer });
    let areFormerLeasesFenced = false;
    let generation = 0;
    let isLeaving = false;

    const createHolder = (): Holder => ({ nodeId, bootId: `${bootId}.${generation}` });
    const createLease = (holder: Holder): NodeLease => createNodeLease({ ...dependencies, reader, writer, holder });
    let holder = createHolder();
    let lease = createLease(holder);

    /** After its lease was fenced, the process continues as a new holder; it keeps the keys in memory. */
    const startNewGeneration = (): void => {
        generation += 1;
        holder = createHolder();
        lease = createLease(holder);
        holdings.clear();
    };

    const getHolding = (partitionKey: string): PartitionHolding => {
        const existing = holdings.get(partitionKey);
        if (existing !== undefined) {
            return existing;
        }
        const created = createPartitionHolding({
            partitionKey,
            holder,
            takeover,
            reader,
            writer,
            keyRegistry,
            ceiling: lease.ceiling,
            createVacantRow,
        });
        holdings.set(partitionKey, created);
        return created;
    };

    const shouldHold = (reference: PartitionReference): boolean =>
        !isLeaving && rankOwners(reference, members(reference.service))[0] === nodeId;

    const listPartitions = (): readonly PartitionReference[] =>
        services().flatMap((service) =>
            Array.from({ length: options.partitions }, (_, partition) => ({ service, partition })));

    const updatePartition = async (reference: PartitionReference): Promise<void> => {
        const key = formatPartitionKey(reference);
        const isOwner = shouldHold(reference);
        if (isOwner || holdings.has(key)) {
            const holding = getHolding(key);
            await holding.step(isOwner);
            if (!isOwner && holding.isIdle() && holdings.get(key) === holding) {
                holdings.delete(key);
            }
        }
    };

    const tick = async (): Promise<void> => {
        areFormerLeasesFenced ||= await fenceFormerLeases();
        await lease.renewIfDue();
        if (lease.isLost()) {
            startNewGeneration();
            await lease.renewIfDue();
        }
        // A partition that is held under a lease without a row could never be taken over.
        if (lease.ceiling() !== Number.NEGATIVE_INFINITY) {
            await Promise.all(listPartitions().map(updatePartition));
        }
    };

    const getRange = (partitionKey: string): KeyRange | undefined =>
        lease.isLost() ? undefined : holdings.get(partitionKey)?.range();
    const acceptKey = createKeyAcceptance({
        ...dependencies,
        keyRegistry,
        getRange,
        ceiling: () => lease.ceiling(),
    });

    const start = async (lifetime: AbortSignal): Promise<void> => {
        while (!lifetime.aborted && !signal.aborted) {
            await tick();
            await clock.sleep(options.tickMs, lifetime);
        }
    };

    const leave = async (limit: AbortSignal): Promise<void> => {
        isLeaving = true;
        while (!limit.aborted && !signal.aborted && [...holdings.values()].some((holding) => !holding.isIdle())) {
            // A call to a platform that does not respond would last longer than `limit` allows.
            await raceAbort(tick(), limit, () => undefined);
            await clock.sleep(Math.min(options.tickMs, MAX_HANDOVER_TICK), limit);
        }
    };

    return {
        acceptKey,
        start,
        tick,
        leave,
        stats: () => ({
            held: [...holdings.values()].filter((holding) => holding.range() !== undefined).length,
            keys: keyRegistry.size(),
            transactions: writer.transactions() + recordWriter.transactions(),
        }),
    };
};
