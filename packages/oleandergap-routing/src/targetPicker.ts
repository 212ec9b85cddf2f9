/**
 * Picks targets: first a zone by the weights of the table, then the less loaded of two random candidates in that zone.
 */
import { formatServiceReference, type Clock, type Milliseconds, type NodeId, type ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createAttemptProgress, type TargetChoice } from "./attemptProgress.js";
import type { SampleContext } from "./sampleTarget.js";
import { recordOutcome } from "./recordOutcome.js";
import { chooseTarget, createLocalityPreference } from "./localityPreference.js";
import { defaultRoutingOptions, type PickerOptions } from "./options.js";
import { createServiceState, refreshService, type ServiceState } from "./serviceState.js";
import type { PickRequest, RoutableTarget, TargetPick, TargetPicker, ZoneSummary } from "./target.js";
import { recordEndedRequest, recordSentRequest, scoreTarget, type TargetState } from "./targetState.js";
import { countTargets, restoreResponsiveTarget, startDueProbe } from "./zoneCandidates.js";
import { chooseZone } from "./zoneChoice.js";
import { decaySpill, startZoneProbe, getTypicalLatency, type ZoneState } from "./zoneState.js";

/**
 * A target that has sent no response for this many typical latencies counts as unresponsive, if that is longer than
 * `silenceMs`.
 */
const UNRESPONSIVE_LATENCY_FACTOR = 10;

/** Expected load per slot up to which one more request finds a free slot. */
const FULL_LOAD = 1;

/** Dependencies of a target picker. */
export interface TargetPickerDependencies {
    /** This node, or undefined when no target runs on its VM. */
    readonly localNodeId?: NodeId;
    readonly localZone: ZoneName;
    readonly clock: Clock;
    readonly random: Random;
    readonly options?: PickerOptions;
}

const summarise = <Target extends RoutableTarget>(
    { zone, candidates, spill, circuit }: ZoneState<Target>,
): ZoneSummary => ({
    zone,
    targets: countTargets(candidates),
    ejected: candidates.ejected.length,
    spill,
    isReachable: circuit.state === "closed",
});

/** Creates the target picker of one node. It serves all services. */
export const createTargetPicker = <Target extends RoutableTarget>({
    localNodeId,
    localZone,
    clock,
    random,
    options = defaultRoutingOptions.picker,
}: TargetPickerDependencies): TargetPicker<Target> => {
    const services = new Map<string, ServiceState<Target>>();
    const localityPreference = createLocalityPreference(options, localNodeId, localZone);
    const rebuildContext = { clock, random, localityPreference, callerSpread: options.callerSpread };

    const getServiceState = (request: PickRequest<Target>): ServiceState<Target> => {
        const key = `${formatServiceReference(request.service)}${request.group === undefined ? "" : ` ${request.group}`}`;
        let service = services.get(key);
        if (service === undefined) {
            service = createServiceState<Target>();
            services.set(key, service);
        }
        refreshService(service, request.row, request.targets, rebuildContext);
        return service;
    };

    const createContext = (zone: ZoneState<Target>, exclude: readonly NodeId[], now: Milliseconds): SampleContext => ({
        now,
        random,
        exclude,
        slowStartMs: options.slowStartMs,
        loadReportLifetimeMs: options.loadReportLifetimeMs,
        silenceMs: Math.max(options.silenceMs, UNRESPONSIVE_LATENCY_FACTOR * zone.typicalLatencyMs),
        missedSignsMs: options.missedSignsMs,
        typicalLatencyMs: zone.typicalLatencyMs,
    });

    const pickTargetInZone = (
        zone: ZoneState<Target>,
        localTargets: readonly TargetState<Target>[],
        { exclude, canResend }: PickRequest<Target>,
        now: Milliseconds,
    ): TargetChoice<Target> | undefined => {
        const probedTarget = startDueProbe(zone.candidates, now, canResend, exclude);
        const context = createContext(zone, exclude, now);
        const state = probedTarget ?? chooseTarget(zone.candidates, localTargets, localityPreference, context);
        return state === undefined ? undefined : { zone, state, isProbe: probedTarget !== undefined };
    };

    /**
     * Picks a target in the chosen zone, or in another zone if the request has already been sent to all targets of the
     * chosen zone.
     */
    const chooseZoneAndTarget = (request: PickRequest<Target>, now: Milliseconds): TargetChoice<Target> | undefined => {
        const { zones, localTargets } = getServiceState(request);
        for (const zone of zones) {
            decaySpill(zone, now, options.spillReturnMs);
        }
        const { canResend, avoidZone } = request;
        const chosenZone = chooseZone(zones, { now, canResend, avoidZone });
        if (chosenZone === undefined) {
            return undefined;
        }
        startZoneProbe(chosenZone, now);
        const choice = pickTargetInZone(chosenZone, localTargets, request, now);
        if (choice !== undefined || request.exclude.length === 0) {
            return choice;
        }
        for (const zone of zones) {
            const other = zone === chosenZone ? undefined : pickTargetInZone(zone, localTargets, request, now);
            if (other !== undefined) {
                return other;
            }
        }
        return undefined;
    };

    const createPick = (choice: TargetChoice<Target>, sentAt: Milliseconds, kind: string): TargetPick<Target> => {
        const { zone, state, isProbe } = choice;
        const typicalMs = getTypicalLatency(zone, kind);
        recordSentRequest(state, sentAt, typicalMs);
        let isReported = false;
        return {
            target: state.target,
            progress: createAttemptProgress(choice, { clock, random, options }),
            report: (outcome, load) => {
                if (isReported) {
                    return;
                }
                isReported = true;
                const now = clock.monotonic();
                recordEndedRequest(state, load, { sentAt, typicalMs }, now);
                if (outcome.kind === "Answered" || load !== undefined) {
                    restoreResponsiveTarget(zone.candidates, state);
                }
                recordOutcome(zone, state, outcome, { now, options, random, load, isProbe, kind });
            },
        };
    };

    const pick = (request: PickRequest<Target>): TargetPick<Target> | undefined => {
        const now = clock.monotonic();
        const choice = chooseZoneAndTarget(request, now);
        if (choice === undefined) {
            return undefined;
        }
        return createPick(choice, now, request.kind ?? "");
    };

    const hasFreeSlot = (request: PickRequest<Target>): boolean => {
        if (request.row.placement !== "load") {
            return false;
        }
        const now = clock.monotonic();
        return getServiceState(request).zones.some((zone) => {
            const context = createContext(zone, request.exclude, now);
            return zone.candidates.open.some((state) =>
                !request.exclude.includes(state.target.nodeId) && scoreTarget(state, context) <= FULL_LOAD);
        });
    };

    return {
        pick,
        hasFreeSlot,
        retryAfter: (service) => {
            const zones = services.get(formatServiceReference(service))?.zones ?? [];
            const now = clock.monotonic();
            const probeDelays = zones.map(({ circuit, candidates }) =>
                (circuit.state === "closed" ? candidates.nextProbeAt : circuit.probeAt) - now);
            const shortestDelay = Math.min(options.noTargetRetryAfterMs, ...probeDelays);
            return Math.max(1, Math.ceil(shortestDelay));
        },
        zones: (service) => services.get(formatServiceReference(service))?.zones.map((zone) => summarise(zone)) ?? [],
    };
};
