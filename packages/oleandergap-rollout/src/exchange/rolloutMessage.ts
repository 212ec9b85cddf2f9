/**
 * The datagrams with which nodes exchange roll-outs and reports of targets. They contain ages instead of times, because
 * clocks differ.
 */
import type { Milliseconds } from "oleandergap-types";
import { splitIntoChunks } from "oleandergap-utils";
import { z } from "zod";
import { targetReportSchema, type TargetReport } from "../judge/tally.js";
import { rolloutOrderSchema, rolloutStateSchema, type Rollout } from "../rollout.js";

/** Maximum number of roll-outs in one datagram. */
const MAX_ROLLOUTS_PER_MESSAGE = 4;
/** Maximum number of reports in one datagram. */
const MAX_REPORTS_PER_MESSAGE = 12;
/** Maximum size of the reports in one datagram, in parts; see {@link getReportSize}. Compressed, they fit into it. */
export const MAX_REPORT_PARTS = 25;
const MAX_AGE_MS: Milliseconds = 7 * 86_400_000;
const MAX_REASON_LENGTH = 100;

const ageSchema = z.number().int().min(0).max(MAX_AGE_MS);

const rolloutMessagePartSchema = z.strictObject({
    order: rolloutOrderSchema,
    ageMs: ageSchema,
    state: rolloutStateSchema,
    stateAgeMs: ageSchema,
    reason: z.string().max(MAX_REASON_LENGTH),
});

export const rolloutMessageSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("Rollouts"),
        rollouts: z.array(rolloutMessagePartSchema).max(MAX_ROLLOUTS_PER_MESSAGE),
    }),
    /** Reports of targets of one roll-out. */
    z.strictObject({
        kind: z.literal("Reports"),
        rollout: rolloutOrderSchema.shape.id,
        reports: z.array(targetReportSchema).max(MAX_REPORTS_PER_MESSAGE),
    }),
    /** Requests all roll-outs and reports of the receiver. */
    z.strictObject({ kind: z.literal("Query") }),
    /** Ends the answer to a query. `isInformed` states whether the sender has the roll-outs of the fleet. */
    z.strictObject({ kind: z.literal("Answered"), isInformed: z.boolean() }),
]);
/** See {@link rolloutMessageSchema}. */
export type RolloutMessage = z.infer<typeof rolloutMessageSchema>;
type RolloutMessagePart = z.infer<typeof rolloutMessagePartSchema>;

const computeAge = (at: Milliseconds, now: Milliseconds): Milliseconds =>
    Math.min(MAX_AGE_MS, Math.max(0, Math.round(now - at)));

const encodeRollout = ({ order, orderedAt, state, since, reason }: Rollout, now: Milliseconds): RolloutMessagePart => ({
    order,
    ageMs: computeAge(orderedAt, now),
    state,
    stateAgeMs: computeAge(since, now),
    reason: reason.slice(0, MAX_REASON_LENGTH),
});

/** Converts the ages of a message to times on this node's monotonic clock. */
export const decodeRollout = (
    { order, ageMs, state, stateAgeMs, reason }: RolloutMessagePart,
    now: Milliseconds,
): Rollout => ({ order, orderedAt: now - ageMs, state, since: now - stateAgeMs, reason });

/** Returns the messages that contain `rollouts`. */
export const encodeRollouts = (rollouts: readonly Rollout[], now: Milliseconds): readonly RolloutMessage[] =>
    splitIntoChunks(rollouts, MAX_ROLLOUTS_PER_MESSAGE)
        .map((chunk) => ({ kind: "Rollouts", rollouts: chunk.map((rollout) => encodeRollout(rollout, now)) }));

/** Returns the size of a report in parts of about equal length: the target itself, and each kind of request. */
export const getReportSize = ({ tallies }: TargetReport): number => 2 + tallies.length;

const groupReports = (reports: readonly TargetReport[]): readonly TargetReport[][] => {
    const groups: TargetReport[][] = [];
    let remaining = 0;
    for (const report of reports) {
        const size = getReportSize(report);
        if (size > remaining) {
            groups.push([]);
            remaining = MAX_REPORT_PARTS;
        }
        groups.at(-1)?.push(report);
        remaining -= size;
    }
    return groups;
};

/** Returns the messages that contain `reports` of a roll-out. */
export const encodeReports = (rollout: string, reports: readonly TargetReport[]): readonly RolloutMessage[] =>
    groupReports(reports).map((group) => ({ kind: "Reports", rollout, reports: group }));
