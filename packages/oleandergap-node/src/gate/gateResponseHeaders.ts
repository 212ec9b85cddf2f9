/** Headers of the responses that a gate sends to other nodes. */
import { LOAD_HEADER, PACE_HEADER, REQUEST_ID_HEADER, type GateLoad, type LifetimeFeedback } from "oleandergap-types";
import { formatShare } from "../http/admissionShareHeader.js";
import { formatFeedback } from "../http/feedbackHeader.js";
import { ADMISSION_SHARE_HEADER, FEEDBACK_HEADER } from "../http/headers.js";
import { formatLoad, formatPace } from "../http/loadHeader.js";
import type { GateRequestHead } from "./gateRequestHead.js";

/** What the headers state of the gate. */
export interface GateResponseHeaderDependencies {
    /** Returns the load of the gate; undefined while there is no target. */
    readonly load: (kind?: string) => GateLoad | undefined;
    /** Returns the share of the requests of a priority that nodes should send; undefined while there is no target. */
    readonly admissionShare: (priority: number) => number | undefined;
    /** Returns what the target has stated about itself; undefined if there is nothing to report. */
    readonly feedback: () => LifetimeFeedback | undefined;
}

/** Creates the headers of the response to the request with an id and, if it was read, its head. */
export type CreateGateResponseHeaders = (
    requestId: string | undefined,
    head?: Pick<GateRequestHead, "kind" | "priority">,
) => Record<string, string>;

export const createGateResponseHeaders = (
    dependencies: GateResponseHeaderDependencies,
): CreateGateResponseHeaders => (requestId, head) => {
    const headers: Record<string, string> = {};
    if (requestId !== undefined) {
        headers[REQUEST_ID_HEADER] = requestId;
    }
    const admissionShare = head && formatShare(dependencies.admissionShare(head.priority));
    if (admissionShare !== undefined) {
        headers[ADMISSION_SHARE_HEADER] = admissionShare;
    }
    const load = dependencies.load(head?.kind);
    if (load !== undefined) {
        headers[LOAD_HEADER] = formatLoad(load);
        const pace = formatPace(load);
        if (pace !== undefined) {
            headers[PACE_HEADER] = pace;
        }
    }
    const feedback = dependencies.feedback();
    if (feedback !== undefined) {
        headers[FEEDBACK_HEADER] = formatFeedback(feedback);
    }
    return headers;
};
