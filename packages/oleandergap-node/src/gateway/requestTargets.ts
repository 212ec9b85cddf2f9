/** Chooses the targets that a request may be sent to, by the roll-out of its service and by its containment. */
import type { TargetMember } from "oleandergap-membership";
import type { RequestSplit, Rollouts } from "oleandergap-rollout";
import type { TrialTargets } from "oleandergap-routing";
import type { ServiceReference } from "oleandergap-types";
import type { RequestContainment } from "./requestContainment.js";

/** Divides the targets of a request during a roll-out of their service; undefined if there is none. */
export type SplitTargets = Rollouts<never>["split"];

/** Targets of one request. */
export interface RequestTargets {
    readonly targets: readonly TargetMember[];
    /** Targets of a new version that the request goes to first. */
    readonly trial: TrialTargets<TargetMember> | undefined;
}

const toTrialTargets = ({ version, trial, isFullyMoved }: RequestSplit<TargetMember>): RequestTargets["trial"] =>
    trial.length === 0 ? undefined : { version, targets: trial, includesRetries: isFullyMoved };

/** Returns the targets of a request. A request on probation after crashes takes no part in a roll-out. */
export const chooseRequestTargets = (
    service: ServiceReference,
    foundTargets: readonly TargetMember[],
    splitTargets: SplitTargets,
    containment: RequestContainment,
): RequestTargets => {
    const split = splitTargets(service, foundTargets);
    const base = split?.base ?? foundTargets;
    const targets = containment.chooseTargets(base);
    const isRestricted = targets !== base;
    return { targets, trial: split === undefined || isRestricted ? undefined : toTrialTargets(split) };
};
