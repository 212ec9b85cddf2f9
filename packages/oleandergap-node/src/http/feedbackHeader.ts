/**
 * Formats and parses what a target states about itself as a header between nodes: request limit or `-`, departure,
 * start time or `-`, and the instance id, which is encoded because a target may choose any text.
 */
import { lifetimeFeedbackSchema, parseRequestLimit, type LifetimeFeedback } from "oleandergap-types";

const FEEDBACK_PATTERN = /^([\d.]{1,17}|-),(yes|no),(\d{1,16}|-),(\S{1,384})$/;
const NONE = "-";

/** Returns the header's value. */
export const formatFeedback = ({ instanceId, bornAt, feedback }: LifetimeFeedback): string =>
    [
        feedback.requestLimit ?? NONE,
        feedback.isLeaving ? "yes" : "no",
        bornAt ?? NONE,
        encodeURIComponent(instanceId),
    ].join(",");

/** Returns the decoded text; undefined if it is malformed. */
const decodeText = (text: string): string | undefined => {
    try {
        return decodeURIComponent(text);
    }
    catch {
        // A malformed header gives no information, as if it were absent.
        return undefined;
    }
};

/** Returns the parsed header; undefined when it is absent or malformed. */
export const parseFeedback = (text: string | undefined): LifetimeFeedback | undefined => {
    const match = text === undefined ? null : FEEDBACK_PATTERN.exec(text);
    if (match === null) {
        return undefined;
    }
    const [, limit, leaving, bornAt, instanceId = ""] = match;
    return lifetimeFeedbackSchema.safeParse({
        instanceId: decodeText(instanceId),
        ...bornAt === NONE ? {} : { bornAt: Number(bornAt) },
        feedback: { requestLimit: parseRequestLimit(limit), isLeaving: leaving === "yes" },
    }).data;
};
