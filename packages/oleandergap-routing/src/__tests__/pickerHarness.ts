/** Test harness for the target picker. */
import type { NodeId, ServiceRow, ZoneName } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import {
    createTargetPicker,
    defaultRoutingOptions,
    type AttemptOutcome,
    type PickerOptions,
    type RoutableTarget,
    type TargetPick,
    type TargetPicker,
    type ZoneSummary,
} from "../index.js";

export const testService = { partner: "halloway", service: "grant-filer" };
export const testNow = 1_000_000;

export const createRow = (weights: Readonly<Record<ZoneName, number>>, retryRatio = 0.1): ServiceRow => ({
    service: testService.service,
    weights: new Map(Object.entries(weights)),
    limitName: "filing",
    limit: { concurrency: 100, queue: 10, timeoutMs: 1000, retryRatio },
    idempotency: "optional",
    placement: "weights",
});

export const createTargets = (zone: ZoneName, count: number, since = 0): readonly RoutableTarget[] =>
    Array.from({ length: count }, (_, index) => ({ nodeId: `${zone}-${index}`, zone, slots: 10, leaving: false, since }));

export interface PickerHarness {
    readonly clock: ManualClock;
    readonly picker: TargetPicker<RoutableTarget>;
    readonly pick: (
        exclude?: readonly NodeId[],
        canResend?: boolean,
        kind?: string,
    ) => TargetPick<RoutableTarget> | undefined;
    /**
     * Sends requests one after the other. `respond` returns the outcome of each. Returns the number of requests by
     * node.
     */
    readonly send: (
        count: number,
        respond?: (target: RoutableTarget) => AttemptOutcome,
        everyMs?: number,
    ) => Promise<Map<NodeId, number>>;
    readonly zone: (name: ZoneName) => ZoneSummary | undefined;
    readonly setTargets: (targets: readonly RoutableTarget[]) => void;
    readonly setRow: (row: ServiceRow) => void;
}

export const answered: AttemptOutcome = { kind: "Answered", latencyMs: 10 };
export const connectFailed: AttemptOutcome = { kind: "ConnectFailed" };
export const queueFull: AttemptOutcome = { kind: "Refused", reason: "QueueFull" };

/** Returns the number of requests that went to nodes whose ID starts with `prefix`. */
export const countFor = (counts: ReadonlyMap<NodeId, number>, prefix: string): number =>
    [...counts].reduce((sum, [nodeId, count]) => sum + (nodeId.startsWith(prefix) ? count : 0), 0);

export const createPickerHarness = (
    initialTargets: readonly RoutableTarget[],
    initialRow: ServiceRow,
    options: Partial<PickerOptions> = {},
    localZone = "hall-a",
    seed = 1,
): PickerHarness => {
    const clock = createManualClock(testNow);
    let targets = initialTargets;
    let row = initialRow;
    const picker = createTargetPicker<RoutableTarget>({
        localNodeId: "hall-a-0",
        localZone,
        clock,
        random: createSeededRandom(seed),
        options: { ...defaultRoutingOptions.picker, ...options },
    });

    const pick: PickerHarness["pick"] = (exclude = [], canResend = true, kind = undefined) =>
        picker.pick({ service: testService, row, targets, exclude, canResend, kind });

    const send: PickerHarness["send"] = async (count, respond = () => answered, everyMs = 1) => {
        const counts = new Map<NodeId, number>();
        for (let sent = 0; sent < count; sent++) {
            const chosen = pick();
            if (chosen !== undefined) {
                counts.set(chosen.target.nodeId, (counts.get(chosen.target.nodeId) ?? 0) + 1);
                chosen.report(respond(chosen.target));
            }
            clock.freeze(everyMs);
        }
        return counts;
    };

    return {
        clock,
        picker,
        pick,
        send,
        zone: (name) => picker.zones(testService).find(({ zone }) => zone === name),
        setTargets: (next) => {
            targets = next;
        },
        setRow: (next) => {
            row = next;
        },
    };
};
