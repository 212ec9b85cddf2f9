/** Measures the elapsed time of the decisions that are made for each request. */
import { performance } from "node:perf_hooks";
import * as either from "fp-ts/lib/Either.js";
import { createGate } from "oleandergap-gate";
import type { GateLoad, ServiceRow } from "oleandergap-types";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import type { RoutableTarget } from "../target.js";
import { createTargetPicker } from "../targetPicker.js";
import { basePlan } from "./experiments.js";

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const ROUNDS = 200_000;
const ZONES = 5;
const SERVICE = { partner: "halloway", service: "wills-desk" };

const LOAD: GateLoad = { inFlight: 3, queued: 0, capacity: 12, expectedWaitMs: 0 };

/** Elapsed time per decision, in nanoseconds. */
export interface DecisionCost {
    readonly targets: number;
    readonly admitAndReleaseNs: number;
    readonly pickAndReportNs: number;
    /** The same for targets that report their pace, placed by load. */
    readonly pickAndReportPacedNs: number;
}

const measureAverageNs = async (round: () => void | Promise<void>): Promise<number> => {
    for (let warmUp = 0; warmUp < ROUNDS / 4; warmUp++) {
        await round();
    }
    const startedAt = performance.now();
    for (let count = 0; count < ROUNDS; count++) {
        await round();
    }
    return ((performance.now() - startedAt) * NANOSECONDS_PER_MILLISECOND) / ROUNDS;
};

const measureGate = (): Promise<number> => {
    const clock = createSystemClock();
    const gate = createGate({ clock, limit: basePlan.limit, slots: basePlan.announcedSlots });
    const { signal } = new AbortController();
    return measureAverageNs(async () => {
        const admission = await gate.admit({ ...SERVICE, deadline: clock.monotonic() + 1000, signal });
        if (either.isRight(admission)) {
            admission.right.release("Answered");
        }
    });
};

const createTargets = (count: number): readonly RoutableTarget[] =>
    Array.from({ length: count }, (_, index) => ({
        nodeId: `node-${index}`,
        zone: `zone-${index % ZONES}`,
        slots: 12,
        leaving: false,
        since: 0,
    }));

const measurePicker = (count: number, placement: ServiceRow["placement"], load: GateLoad): Promise<number> => {
    const picker = createTargetPicker({
        localZone: "zone-0",
        clock: createSystemClock(),
        random: createSeededRandom(1),
    });
    const weights = new Map(Array.from({ length: ZONES }, (_, zone) => [`zone-${zone}`, zone + 1]));
    const row: ServiceRow = {
        service: SERVICE.service,
        weights,
        limitName: "measured",
        limit: basePlan.limit,
        idempotency: "optional",
        placement,
    };
    const targets = createTargets(count);
    return measureAverageNs(() => {
        const pick = picker.pick({ service: SERVICE, row, targets, exclude: [], canResend: true });
        pick?.report({ kind: "Answered", latencyMs: 10 }, load);
    });
};

/**
 * Measures the wall-clock time of each decision, averaged over many rounds. The result depends on the machine and its
 * other load.
 */
export const measureDecisionCost = async (targets: number): Promise<DecisionCost> => ({
    targets,
    admitAndReleaseNs: await measureGate(),
    pickAndReportNs: await measurePicker(targets, "weights", LOAD),
    pickAndReportPacedNs: await measurePicker(targets, "load", { ...LOAD, pace: 1.2, usualTimeMs: 10 }),
});
