/** A roll-out: an order to move a service to a new version, and its state. */
import { MAX_TARGET_VERSION_LENGTH, serviceReferenceSchema, type Milliseconds, type ServiceReference } from "oleandergap-types";
import { z } from "zod";

/** Longest time limit of a roll-out. */
const MAX_DURATION_MS: Milliseconds = 86_400_000;
const MAX_ID_LENGTH = 64;

/** Version that a target announces, for example `v2`. */
export const targetVersionSchema = z.string().min(1).max(MAX_TARGET_VERSION_LENGTH);
/** See {@link targetVersionSchema}. */
export type TargetVersion = z.infer<typeof targetVersionSchema>;

/** An order to move a service to a version within a time limit. */
export const rolloutOrderSchema = z.strictObject({
    service: serviceReferenceSchema,
    /** Unique for each order. */
    id: z.string().min(1).max(MAX_ID_LENGTH),
    /** Version that the service moves to. */
    version: targetVersionSchema,
    /** Time from the order until the roll-out must have ended. */
    durationMs: z.number().int().min(1).max(MAX_DURATION_MS),
});
/** See {@link rolloutOrderSchema}. */
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>;

/**
 * State of a roll-out.
 *
 * - `running`: the new version receives its canary share.
 * - `promoting`: the new version was judged good, and its share grows to all requests.
 * - `stopping`: the new version was judged bad or ran out of time. It receives no requests; the platform's table does
 *   not contain the outcome yet.
 * - `completed` and `rolledBack`: final.
 */
export const rolloutStateSchema = z.enum(["running", "promoting", "stopping", "completed", "rolledBack"]);
/** See {@link rolloutStateSchema}. */
export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** A roll-out as recorded by one node. Times are on the node's monotonic clock. */
export interface Rollout {
    readonly order: RolloutOrder;
    readonly orderedAt: Milliseconds;
    readonly state: RolloutState;
    /** Time at which the state began. */
    readonly since: Milliseconds;
    /** Why the state was entered, for operators. */
    readonly reason: string;
}

const STATE_RANKS: Readonly<Record<RolloutState, number>> = {
    running: 0,
    promoting: 1,
    stopping: 2,
    completed: 3,
    rolledBack: 3,
};

/** Returns whether a state is final. */
export const isFinal = (state: RolloutState): boolean => STATE_RANKS[state] === STATE_RANKS.completed;

/** Returns the time by which the roll-out must have ended. */
export const getDeadline = ({ order, orderedAt }: Rollout): Milliseconds => orderedAt + order.durationMs;

/** Returns whether `next` is a later state than `current`. A final state is never replaced. */
export const isLaterState = (current: RolloutState, next: RolloutState): boolean =>
    STATE_RANKS[next] > STATE_RANKS[current];

/** Returns whether two orders are for the same service. */
export const isSameService = (left: ServiceReference, right: ServiceReference): boolean =>
    left.partner === right.partner && left.service === right.service;

/**
 * Returns whether two orders ask for the same: the same version for the same service within the same time. Their ids
 * differ if the operator wrote the order twice.
 */
export const hasSameContent = (left: RolloutOrder, right: RolloutOrder): boolean =>
    isSameService(left.service, right.service) &&
    left.version === right.version &&
    left.durationMs === right.durationMs;

/**
 * Combines the records of two nodes on the roll-out of a service. The later order replaces the earlier one. For the
 * same order, the later state applies, and the earliest time at which a node received the order.
 */
export const mergeRollout = (record: Rollout | undefined, received: Rollout): Rollout => {
    if (record === undefined) {
        return received;
    }
    if (record.order.id !== received.order.id) {
        return received.orderedAt > record.orderedAt ? received : record;
    }
    const later = isLaterState(record.state, received.state) ? received : record;
    const orderedAt = Math.min(record.orderedAt, received.orderedAt);
    return later === record && orderedAt === record.orderedAt ? record : { ...later, orderedAt };
};
