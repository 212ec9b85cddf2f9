/**
 * Picks targets: first a zone by the weights of the table, then the less loaded of two random candidates in that zone.
 */
import {
    formatServiceReference,
    type Clock,
    type GateLoad,
    type Milliseconds,
    type NodeId,
    type ServiceReference,
    type ZoneName,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createAttemptProgress, type TargetChoice } from "./attemptProgress.js";
import type { SampleContext } from "./sampleTarget.js";
import { recordOutcome } from "./recordOutcome.js";
import { chooseByCompletion } from "./completionChoice.js";
import { estimateRun, isPaceReported, recordUsualTime, type CompletionContext } from "./expectedCompletion.js";
import { chooseTarget, createLocalityPreference } from "./localityPreference.js";
import { defaultRoutingOptions, type PickerOptions } from "./options.js";
import { createServiceState, refreshService, type ServiceState } from "./serviceState.js";
import type { PickRequest, RoutableTarget, TargetPick, TargetPicker, ZoneSummary } from "./target.js";
import { computeLoadPerSlot } from "./targetScore.js";
import { recordEndedRequest, recordSentRequest, type TargetState } from "./targetState.js";
import { countTargets, restoreResponsiveTarget, startDueProbe } from "./zoneCandidates.js";
import { applySharedLoads, listSharedLoads, refreshLocalLoad } from "./sharedLoads.js";
import { summariseTargets } from "./summariseTargets.js";
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
    /** Returns the load of the gate on this VM; absent or undefined when no target runs on this VM. */
    readonly localLoad?: () => GateLoad | undefined;
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

/** Inputs of the context in which a target is chosen. */
interface SampleContextInputs<Target extends RoutableTarget> {
    readonly zone: ZoneState<Target>;
    readonly request: PickRequest<Target>;
    readonly now: Milliseconds;
    readonly random: Random;
    readonly options: PickerOptions;
}

const createCompletionContext = <Target extends RoutableTarget>(
    { zone, request: { kind = "", objective }, now }: SampleContextInputs<Target>,
): CompletionContext | undefined => isPaceReported(zone.usualTimes, now) ?
    { kind, times: zone.usualTimes, now, timeLeftMs: objective === undefined ? undefined : objective - now } :
    undefined;

const createSampleContext = <Target extends RoutableTarget>(inputs: SampleContextInputs<Target>): SampleContext => {
    const { zone, request, now, random, options } = inputs;
    return {
        now,
        random,
        exclude: request.exclude,
        slowStartMs: options.slowStartMs,
        loadReportLifetimeMs: options.loadReportLifetimeMs,
        silenceMs: Math.max(options.silenceMs, UNRESPONSIVE_LATENCY_FACTOR * zone.typicalLatencyMs),
        missedSignsMs: options.missedSignsMs,
        typicalLatencyMs: zone.typicalLatencyMs,
        completion: createCompletionContext(inputs),
    };
};

/** Returns the latency that is typical for the zone, or longer at a target that reports that it is slow. */
const getExpectedLatency = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    { pace }: TargetState<Target>,
    kind: string,
    now: Milliseconds,
): Milliseconds => {
    const typicalMs = getTypicalLatency(zone, kind);
    return pace === undefined ?
        typicalMs :
        Math.max(typicalMs, estimateRun(pace, { kind, times: zone.usualTimes, now }));
};

/** Returns the time until a target or a zone may be probed, at least 1 ms. */
const computeProbeDelay = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
    now: Milliseconds,
): Milliseconds => {
    const probeDelays = zones.map(({ circuit, candidates }) =>
        (circuit.state === "closed" ? candidates.nextProbeAt : circuit.probeAt) - now);
    return Math.max(1, Math.min(...probeDelays));
};

/** Creates the target picker of one node. It serves all services. */
export const createTargetPicker = <Target extends RoutableTarget>({
    localNodeId,
    localZone,
    localLoad = () => undefined,
    clock,
    random,
    options = defaultRoutingOptions.picker,
}: TargetPickerDependencies): TargetPicker<Target> => {
    const services = new Map<string, ServiceState<Target>>();
    const localityPreference = createLocalityPreference(options, localNodeId, localZone);
    const rebuildContext = { clock, random, localityPreference, callerSpread: options.callerSpread };

    const findService = (service: ServiceReference): ServiceState<Target> | undefined =>
        services.get(formatServiceReference(service));

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

    const pickTargetInZone = (
        zone: ZoneState<Target>,
        localTargets: readonly TargetState<Target>[],
        request: PickRequest<Target>,
        now: Milliseconds,
    ): TargetChoice<Target> | undefined => {
        const { exclude, canResend } = request;
        const probedTarget = startDueProbe(zone.candidates, now, canResend, exclude);
        const context = createSampleContext({ zone, request, now, random, options });
        const choose = context.completion === undefined ? chooseTarget : chooseByCompletion;
        const state = probedTarget ?? choose(zone.candidates, localTargets, localityPreference, context);
        return state === undefined ? undefined : { zone, state, isProbe: probedTarget !== undefined };
    };

    /**
     * Picks a target in the chosen zone, or in another zone if the request has already been sent to all targets of the
     * chosen zone.
     */
    const chooseZoneAndTarget = (request: PickRequest<Target>, now: Milliseconds): TargetChoice<Target> | undefined => {
        const service = getServiceState(request);
        const { zones, localTargets } = service;
        refreshLocalLoad(service, { localNodeId, localLoad, now });
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
        const typicalMs = getExpectedLatency(zone, state, kind, sentAt);
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
                recordEndedRequest(state, load, { sentAt, typicalMs, kind }, now);
                if (load !== undefined) {
                    recordUsualTime(zone.usualTimes, load, kind, now);
                }
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
            const context = createSampleContext({ zone, request, now, random, options });
            return zone.candidates.open.some((state) =>
                !request.exclude.includes(state.target.nodeId) && computeLoadPerSlot(state, context) <= FULL_LOAD);
        });
    };

    return {
        pick,
        hasFreeSlot,
        shareLoads: (service) => listSharedLoads(findService(service), clock.monotonic()),
        recordSharedLoads: (service, loads) => applySharedLoads(findService(service), loads, clock.monotonic()),
        retryAfter: (service) => {
            const probeDelay = computeProbeDelay(findService(service)?.zones ?? [], clock.monotonic());
            return Math.ceil(Math.min(options.noTargetRetryAfterMs, probeDelay));
        },
        targets: () => summariseTargets(services, clock.monotonic()),
        zones: (service) => findService(service)?.zones.map((zone) => summarise(zone)) ?? [],
    };
};
