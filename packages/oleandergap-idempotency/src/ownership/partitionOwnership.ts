/**
 * Ownership of partitions by this node: keeps its lease, takes the partitions that it should own, hands over those
 * that it should not, and decides on keys without asking the platform.
 */
import type { Clock, NodeId, ServiceReference, TableService } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { raceAbort, type Random } from "oleandergap-utils";
import { createBatchReader } from "../claim/batchReader.js";
import { createBatchWriter } from "../claim/batchWriter.js";
import { createPlatformPause } from "../claim/platformPause.js";
import { createSettler } from "../claim/settler.js";
import type { ClaimOptions, OwnershipOptions } from "../options.js";
import { createFormerLeases } from "./formerLeases.js";
import { createKeyAcceptance, type AcceptKey } from "./keyAcceptance.js";
import { createKeyLedger } from "./keyLedger.js";
import { createNodeLease, type NodeLease } from "./nodeLease.js";
import { formatPartitionKey, type Holder, type KeyRange, type PartitionReference, type PartitionRow } from "./ownershipRows.js";
import { createPartitionHolding, type PartitionHolding } from "./partitionHolding.js";
import { rankOwners } from "./partitions.js";
import { createTakeover } from "./takeover.js";

export interface PartitionOwnership {
    /** Decides at once on a key that carries its time; `request.key` is already parsed. */
    readonly acceptKey: AcceptKey;
    /** Renews the lease and moves partitions until `signal` aborts. */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** One round of that work. */
    readonly tick: () => Promise<void>;
    /** Hands every partition over; resolves when none is left or `signal` aborts. */
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
    /** Services whose target stands on this node's VM. */
    readonly services: () => readonly ServiceReference[];
    /** Nodes that may own keys of a service: alive, with a target that is not leaving, where the table allows. */
    readonly members: (service: ServiceReference) => readonly NodeId[];
    /** False once the membership has given a node up. */
    readonly isMember: (node: NodeId) => boolean;
}

/** Longest time between two looks at what is left to hand over, in milliseconds. */
const MAX_LEAVING_TICK = 1000;

export const createPartitionOwnership = (dependencies: PartitionOwnershipDependencies): PartitionOwnership => {
    const { clock, nodeId, bootId, claimOptions, options, signal, services, members } = dependencies;
    const batching = { ...dependencies, options: claimOptions };
    const reader = createBatchReader(batching);
    const writer = createBatchWriter(batching);
    const pause = createPlatformPause(batching);
    const recordOptions = { ...claimOptions, batchWindowMs: options.recordWindowMs };
    const recorder = createBatchWriter({ ...dependencies, options: recordOptions });
    const settler = createSettler({ ...batching, reader, writer: recorder, pause });
    const holdings = new Map<string, PartitionHolding>();
    const onForget = (partitionKey: string, keyTime: number): void =>
        holdings.get(partitionKey)?.raiseRecorded(keyTime);
    const ledger = createKeyLedger({ ...dependencies, settler, onForget });
    /** Before its first holder, every key of a partition went through the durable claim. */
    const createVacantRow = (): PartitionRow =>
        ({ unknownUpTo: 0, recordedUpTo: clock.now() + claimOptions.keyClockToleranceMs });
    const takeover = createTakeover({ ...dependencies, reader, writer, createVacantRow });
    const fenceFormerLeases = createFormerLeases({ ...dependencies, writer });
    let areFormerFenced = false;
    let generation = 0;
    let isLeaving = false;

    const createHolder = (): Holder => ({ nodeId, bootId: `${bootId}.${generation}` });
    const createLease = (holder: Holder): NodeLease => createNodeLease({ ...dependencies, reader, writer, holder });
    let holder = createHolder();
    let lease = createLease(holder);

    /** A fenced process starts again under a new name; its memory of keys stays. */
    const startNewGeneration = (): void => {
        generation += 1;
        holder = createHolder();
        lease = createLease(holder);
        holdings.clear();
    };

    const getHolding = (partitionKey: string): PartitionHolding => {
        const known = holdings.get(partitionKey);
        if (known !== undefined) {
            return known;
        }
        const created = createPartitionHolding({
            partitionKey,
            holder,
            takeover,
            reader,
            writer,
            ledger,
            ceiling: lease.ceiling,
            createVacantRow,
        });
        holdings.set(partitionKey, created);
        return created;
    };

    const isWanted = (reference: PartitionReference): boolean =>
        !isLeaving && rankOwners(reference, members(reference.service))[0] === nodeId;

    const listPartitions = (): readonly PartitionReference[] =>
        services().flatMap((service) =>
            Array.from({ length: options.partitions }, (_, partition) => ({ service, partition })));

    const movePartition = async (reference: PartitionReference): Promise<void> => {
        const key = formatPartitionKey(reference);
        const wanted = isWanted(reference);
        if (wanted || holdings.has(key)) {
            const holding = getHolding(key);
            await holding.step(wanted);
            if (!wanted && holding.isIdle() && holdings.get(key) === holding) {
                holdings.delete(key);
            }
        }
    };

    const tick = async (): Promise<void> => {
        areFormerFenced ||= await fenceFormerLeases();
        await lease.renewIfDue();
        if (lease.isLost()) {
            startNewGeneration();
            await lease.renewIfDue();
        }
        // A partition that is held under a lease whose row does not exist could never be taken over.
        if (lease.ceiling() !== Number.NEGATIVE_INFINITY) {
            await Promise.all(listPartitions().map(movePartition));
        }
    };

    const rangeOf = (partitionKey: string): KeyRange | undefined =>
        lease.isLost() ? undefined : holdings.get(partitionKey)?.range();
    const acceptKey = createKeyAcceptance({ ...dependencies, ledger, rangeOf, ceiling: () => lease.ceiling() });

    const start = async (lifetime: AbortSignal): Promise<void> => {
        while (!lifetime.aborted && !signal.aborted) {
            await tick();
            await clock.sleep(options.tickMs, lifetime);
        }
    };

    const leave = async (limit: AbortSignal): Promise<void> => {
        isLeaving = true;
        while (!limit.aborted && !signal.aborted && [...holdings.values()].some((holding) => !holding.isIdle())) {
            // A call to a platform that is silent would outlast the limit.
            await raceAbort(tick(), limit, () => undefined);
            await clock.sleep(Math.min(options.tickMs, MAX_LEAVING_TICK), limit);
        }
    };

    return {
        acceptKey,
        start,
        tick,
        leave,
        stats: () => ({
            held: [...holdings.values()].filter((holding) => holding.range() !== undefined).length,
            keys: ledger.size(),
            transactions: writer.transactions() + recorder.transactions(),
        }),
    };
};
