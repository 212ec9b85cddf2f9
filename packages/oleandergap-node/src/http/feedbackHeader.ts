/**
 * Formats and parses what a target states about itself as a header between nodes: request limit or `-`, departure,
 * start time or `-`, and the instance id in base64url, because a target may choose any text.
 */
import { lifetimeFeedbackSchema, parseRequestLimit, type LifetimeFeedback } from "oleandergap-types";

const FEEDBACK_PATTERN = /^([\d.]{1,17}|-),(yes|no),(\d{1,16}|-),([\w-]{1,512})$/;
const NONE = "-";
/** Number of decimals of a limit. Smaller limits would be written with an exponent. */
const LIMIT_DECIMALS = 6;

/** Returns the header's value. */
export const formatFeedback = ({ instanceId, bornAt, feedback }: LifetimeFeedback): string =>
    [
        feedback.requestLimit?.toFixed(LIMIT_DECIMALS) ?? NONE,
        feedback.isLeaving ? "yes" : "no",
        bornAt ?? NONE,
        Buffer.from(instanceId).toString("base64url"),
    ].join(",");

/** Returns the parsed header; undefined when it is absent or malformed, which gives no information. */
export const parseFeedback = (text: string | undefined): LifetimeFeedback | undefined => {
    const match = text === undefined ? null : FEEDBACK_PATTERN.exec(text);
    if (match === null) {
        return undefined;
    }
    const [, limit, leaving, bornAt, instanceId = ""] = match;
    return lifetimeFeedbackSchema.safeParse({
        instanceId: Buffer.from(instanceId, "base64url").toString(),
        ...bornAt === NONE ? {} : { bornAt: Number(bornAt) },
        feedback: { requestLimit: parseRequestLimit(limit), isLeaving: leaving === "yes" },
    }).data;
};
