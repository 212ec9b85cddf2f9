/** Describes, for operators, what a node estimates of the targets that report their pace. */
import type { Milliseconds } from "oleandergap-types";
import { computeRelativeTime, estimateCompletion, estimateRun, type CompletionContext } from "./expectedCompletion.js";
import type { ServiceState } from "./serviceState.js";
import type { RoutableTarget, TargetSummary } from "./target.js";
import type { TargetState } from "./targetState.js";
import type { ZoneState } from "./zoneState.js";

/** Kind without requests of its own, for which estimates use the mean of all kinds. */
const MEAN_KIND = "";

const summariseTarget = <Target extends RoutableTarget>(
    service: string,
    { target, circuit, pace, inFlight, otherNodesInFlight, capacity, loadReportedAt }: TargetState<Target>,
    context: CompletionContext,
): TargetSummary => {
    const requests = inFlight + otherNodesInFlight;
    return {
        service,
        nodeId: target.nodeId,
        ejected: circuit.state === "closed" ? 0 : 1,
        ageMs: context.now - loadReportedAt,
        requests,
        capacity,
        pace: pace?.pace ?? 1,
        relativeTime: computeRelativeTime(pace, context.times),
        runMs: estimateRun(pace, context),
        completionMs: estimateCompletion(pace, requests + 1, capacity, context),
    };
};

const summariseZone = <Target extends RoutableTarget>(
    service: string,
    { candidates, usualTimes }: ZoneState<Target>,
    now: Milliseconds,
): readonly TargetSummary[] => {
    const context = { kind: MEAN_KIND, times: usualTimes, now, timeLeftMs: undefined };
    return [...candidates.open, ...candidates.ejected]
        .filter(({ pace }) => pace !== undefined)
        .map((state) => summariseTarget(service, state, context));
};

/** Returns a summary of each target that reports its pace. */
export const summariseTargets = <Target extends RoutableTarget>(
    services: ReadonlyMap<string, ServiceState<Target>>,
    now: Milliseconds,
): readonly TargetSummary[] =>
    [...services].flatMap(([service, { zones }]) => zones.flatMap((zone) => summariseZone(service, zone, now)));
