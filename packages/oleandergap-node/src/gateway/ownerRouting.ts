/**
 * Routes a request whose idempotency key has an owner to that owner only. Any other node would refuse the request, so
 * the load and the zone of the targets are irrelevant.
 */
import type { TargetMember } from "oleandergap-membership";
import { findOwner, parseIdempotencyKey, readKeyTime } from "oleandergap-idempotency";
import { createRequestRouter, type RequestRouter, type TargetPick, type TargetPicker } from "oleandergap-routing";
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, NodeId, ServiceReference } from "oleandergap-types";

export interface OwnerRoutingDependencies {
    readonly clock: Clock;
    /** Number of partitions of each service's keys; must be the same on every node. */
    readonly partitions: number;
}

/** Returns the router for a request with this key, or undefined when the key has no owner. */
export type FindOwnerRouter = (
    service: ServiceReference,
    key: string,
    targets: readonly TargetMember[],
) => RequestRouter<TargetMember> | undefined;

/** Retry delay while the owner is unreachable. Other nodes take over its partitions after a few such delays. */
const OWNER_RETRY_AFTER_MS: Milliseconds = 1000;

/** Returns the nodes that may own keys of a service. */
export const listOwners = (targets: readonly TargetMember[]): readonly NodeId[] =>
    targets.filter((target) => !target.leaving).map((target) => target.nodeId);

/** Returns a pick of the owner. The owner is picked regardless of earlier results, so results are ignored. */
const createOwnerPick = (owner: TargetMember): TargetPick<TargetMember> => ({
    target: owner,
    progress: {
        isProbe: false,
        expectHeartbeats: () => undefined,
        recordHeartbeat: () => undefined,
        silent: () => false,
        recordBodyEnd: () => undefined,
    },
    report: () => undefined,
});

const createOwnerPicker = (owner: TargetMember): TargetPicker<TargetMember> => ({
    pick: ({ exclude }) => exclude.includes(owner.nodeId) ? undefined : createOwnerPick(owner),
    hasFreeSlot: () => false,
    retryAfter: () => OWNER_RETRY_AFTER_MS,
    shareLoads: () => [],
    recordSharedLoads: () => undefined,
    targets: () => [],
    zones: () => [],
});

/**
 * Returns the key if it can have an owner. Only keys that contain a timestamp are owned; see `createOwnedClaimManager`.
 */
const readOwnedKey = (text: string): string | undefined => {
    const key = parseIdempotencyKey(text);
    return either.isRight(key) && readKeyTime(key.right) !== undefined ? key.right : undefined;
};

export const createOwnerRouting = ({ clock, partitions }: OwnerRoutingDependencies): FindOwnerRouter =>
    (service, text, targets) => {
        const key = readOwnedKey(text);
        if (key === undefined) {
            return undefined;
        }
        const ownerId = findOwner(service, key, listOwners(targets), partitions);
        const owner = targets.find((target) => target.nodeId === ownerId);
        return owner === undefined ? undefined : createRequestRouter({ clock, picker: createOwnerPicker(owner) });
    };
