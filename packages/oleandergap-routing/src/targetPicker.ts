/**
 * Picks targets: first a zone by the weights of the table, then the less loaded of two random candidates in that zone.
 */
import { formatServiceReference, type Clock, type Milliseconds, type NodeId, type ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createProgress, type Choice } from "./attemptProgress.js";
import type { DrawContext } from "./drawTarget.js";
import { learnOutcome } from "./learnOutcome.js";
import { chooseTarget, createNearness } from "./nearTarget.js";
import { defaultRoutingOptions, type PickerOptions } from "./options.js";
import { createServiceState, refreshService, type ServiceState } from "./serviceState.js";
import type { PickRequest, RoutableTarget, TargetPick, TargetPicker, ZoneSummary } from "./target.js";
import { markBack, markSent, scoreTarget, type TargetState } from "./targetState.js";
import { countTargets, endSilence, takeProbe } from "./zoneCandidates.js";
import { chooseZone } from "./zoneChoice.js";
import { fadeSpill, noteZoneProbe, usualLatency, type ZoneState } from "./zoneState.js";

/**
 * A target that has sent no response for this many typical latencies counts as unresponsive, if that is longer than
 * `silenceMs`.
 */
const SILENCE_FACTOR = 10;

/** Expected load per slot up to which one more request finds a free slot. */
const FULL_LOAD = 1;

/** Dependencies of a target picker. */
export interface TargetPickerDependencies {
    /** This node, or undefined when no target runs on its VM. */
    readonly ownNode?: NodeId;
    readonly ownZone: ZoneName;
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
    ownNode,
    ownZone,
    clock,
    random,
    options = defaultRoutingOptions.picker,
}: TargetPickerDependencies): TargetPicker<Target> => {
    const services = new Map<string, ServiceState<Target>>();
    const nearness = createNearness(options, ownNode, ownZone);
    const rebuildContext = { clock, random, nearness, callerSpread: options.callerSpread };

    const stateOf = (request: PickRequest<Target>): ServiceState<Target> => {
        const key = formatServiceReference(request.service);
        let service = services.get(key);
        if (service === undefined) {
            service = createServiceState<Target>();
            services.set(key, service);
        }
        refreshService(service, request.row, request.targets, rebuildContext);
        return service;
    };

    const createContext = (zone: ZoneState<Target>, exclude: readonly NodeId[], now: Milliseconds): DrawContext => ({
        now,
        random,
        exclude,
        slowStartMs: options.slowStartMs,
        loadReportLifetimeMs: options.loadReportLifetimeMs,
        silenceMs: Math.max(options.silenceMs, SILENCE_FACTOR * zone.typicalLatencyMs),
        missedSignsMs: options.missedSignsMs,
        typicalLatencyMs: zone.typicalLatencyMs,
    });

    const pickInZone = (
        zone: ZoneState<Target>,
        near: readonly TargetState<Target>[],
        { exclude, canResend }: PickRequest<Target>,
        now: Milliseconds,
    ): Choice<Target> | undefined => {
        const probed = takeProbe(zone.candidates, now, canResend, exclude);
        const context = createContext(zone, exclude, now);
        const state = probed ?? chooseTarget(zone.candidates, near, nearness, context);
        return state === undefined ? undefined : { zone, state, isProbe: probed !== undefined };
    };

    /**
     * Picks a target in the chosen zone, or in another zone if the request has already been sent to all targets of the
     * chosen zone.
     */
    const choose = (request: PickRequest<Target>, now: Milliseconds): Choice<Target> | undefined => {
        const { zones, near } = stateOf(request);
        for (const zone of zones) {
            fadeSpill(zone, now, options.spillReturnMs);
        }
        const { canResend, avoidZone } = request;
        const chosen = chooseZone(zones, { now, canResend, avoidZone });
        if (chosen === undefined) {
            return undefined;
        }
        noteZoneProbe(chosen, now);
        const choice = pickInZone(chosen, near, request, now);
        if (choice !== undefined || request.exclude.length === 0) {
            return choice;
        }
        for (const zone of zones) {
            const other = zone === chosen ? undefined : pickInZone(zone, near, request, now);
            if (other !== undefined) {
                return other;
            }
        }
        return undefined;
    };

    const createPick = (choice: Choice<Target>, sentAt: Milliseconds, kind: string): TargetPick<Target> => {
        const { zone, state, isProbe } = choice;
        const usualMs = usualLatency(zone, kind);
        markSent(state, sentAt, usualMs);
        let isReported = false;
        return {
            target: state.target,
            progress: createProgress(choice, { clock, random, options }),
            report: (outcome, load) => {
                if (isReported) {
                    return;
                }
                isReported = true;
                const now = clock.monotonic();
                markBack(state, load, { sentAt, usualMs }, now);
                if (outcome.kind === "Answered" || load !== undefined) {
                    endSilence(zone.candidates, state);
                }
                learnOutcome(zone, state, outcome, { now, options, random, load, isProbe, kind });
            },
        };
    };

    const pick = (request: PickRequest<Target>): TargetPick<Target> | undefined => {
        const now = clock.monotonic();
        const choice = choose(request, now);
        if (choice === undefined) {
            return undefined;
        }
        return createPick(choice, now, request.kind ?? "");
    };

    const hasRoom = (request: PickRequest<Target>): boolean => {
        if (request.row.placement !== "load") {
            return false;
        }
        const now = clock.monotonic();
        return stateOf(request).zones.some((zone) => {
            const context = createContext(zone, request.exclude, now);
            return zone.candidates.open.some((state) =>
                !request.exclude.includes(state.target.nodeId) && scoreTarget(state, context) <= FULL_LOAD);
        });
    };

    return {
        pick,
        hasRoom,
        retryAfter: (service) => {
            const zones = services.get(formatServiceReference(service))?.zones ?? [];
            const now = clock.monotonic();
            const untilProbe = zones.map(({ circuit, candidates }) =>
                (circuit.state === "closed" ? candidates.nextProbeAt : circuit.probeAt) - now);
            const earliest = Math.min(options.noTargetRetryAfterMs, ...untilProbe);
            return Math.max(1, Math.ceil(earliest));
        },
        zones: (service) => services.get(formatServiceReference(service))?.zones.map((zone) => summarise(zone)) ?? [],
    };
};
