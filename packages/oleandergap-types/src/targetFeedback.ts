/** What a target states about itself in its responses, in addition to its announcements. */
import { z } from "zod";
import type { Milliseconds } from "./clock.js";
import { announcementSchema, type Announcement } from "./member.js";

/** Upper bound of a request limit, in requests per second. Higher values count as no limit. */
const MAX_REQUEST_LIMIT = 1_000_000;

/** The statements of one response. */
export const targetFeedbackSchema = z.strictObject({
    /**
     * Number of requests per second that the target accepts from all nodes together. A response without it states that
     * the target has no such limit at present.
     */
    requestLimit: z.number().min(0).max(MAX_REQUEST_LIMIT).optional(),
    /** Whether the target will stop soon. It then receives no new requests, whatever its announcements say. */
    isLeaving: z.boolean(),
});
export type TargetFeedback = z.infer<typeof targetFeedbackSchema>;

/** Highest count in a report. Higher values are treated as no report. */
const MAX_REPORTED_COUNT = 1_000_000;
/** Highest pace in a report. */
const MAX_PACE = 1000;

/**
 * Time for which a reported pace is assumed to last. Other work on a shared host comes and goes, so that a long run is
 * expected to see the usual or the mean pace for the rest of its time.
 */
export const PACE_PERSISTENCE_MS: Milliseconds = 300;

/** The load that a target reports with a response. */
export const targetReportSchema = z.strictObject({
    /** Number of requests that the target runs. */
    running: z.number().int().min(0).max(MAX_REPORTED_COUNT),
    /** Number of requests that wait in the target's own queue. */
    waiting: z.number().int().min(0).max(MAX_REPORTED_COUNT),
    /** Number of requests that the target runs concurrently. */
    slots: z.number().int().min(1).max(MAX_REPORTED_COUNT),
    /**
     * How long work takes on the target's VM at this moment, as a multiple of the usual time: 2 means twice as
     * long. Absent if the target does not report it.
     */
    pace: z.number().gt(0).max(MAX_PACE).optional(),
});
export type TargetReport = z.infer<typeof targetReportSchema>;

/**
 * Reading of a response's report: the report, or the text of a value that is no report. Undefined readings stand for
 * responses without a report.
 */
export type ReportReading =
    | { readonly kind: "Reported"; readonly report: TargetReport }
    | { readonly kind: "Malformed"; readonly text: string };

const REPORT_PATTERN = /^(\d{1,9}),(\d{1,9}),(\d{1,9})(?:,(\d{1,9}(?:\.\d{1,6})?))?$/;

/**
 * Parses a report: running, waiting, slots and, optionally, the pace, separated by commas.
 *
 * @param usualPace The value that stands for the usual pace.
 */
export const parseTargetReport = (text: string | undefined, usualPace: number): ReportReading | undefined => {
    if (text === undefined) {
        return undefined;
    }
    const match = REPORT_PATTERN.exec(text);
    const report = match === null ? undefined : targetReportSchema.safeParse({
        running: Number(match[1]),
        waiting: Number(match[2]),
        slots: Number(match[3]),
        ...match[4] === undefined ? {} : { pace: Number(match[4]) / usualPace },
    }).data;
    return report === undefined ? { kind: "Malformed", text } : { kind: "Reported", report };
};

/** The statements of a target together with the lifetime of the process that made them. */
export const lifetimeFeedbackSchema = z.strictObject({
    instanceId: announcementSchema.shape.instanceId.unwrap(),
    bornAt: announcementSchema.shape.bornAt,
    feedback: targetFeedbackSchema,
});
export type LifetimeFeedback = z.infer<typeof lifetimeFeedbackSchema>;

/** Returns whether two references name one lifetime. A missing start time matches any start time. */
export const isSameLifetime = (
    left: Pick<Announcement, "instanceId" | "bornAt">,
    right: Pick<Announcement, "instanceId" | "bornAt">,
): boolean =>
    left.instanceId !== undefined && left.instanceId === right.instanceId &&
    (left.bornAt === undefined || right.bornAt === undefined || left.bornAt === right.bornAt);

const DECIMAL_PATTERN = /^\d{1,7}(\.\d{1,9})?$/;

/** Parses a request limit. Returns undefined for text that is no decimal number, or that is too large to be a limit. */
export const parseRequestLimit = (text: string | undefined): number | undefined => {
    const limit = text !== undefined && DECIMAL_PATTERN.test(text) ? Number(text) : undefined;
    return limit !== undefined && limit <= MAX_REQUEST_LIMIT ? limit : undefined;
};
