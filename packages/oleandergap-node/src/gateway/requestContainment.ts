/**
 * Applies crash containment to a request at the gateway: restricts requests whose fingerprint is associated with
 * crashes of targets.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Containment, Fingerprint, Judgement } from "oleandergap-containment";
import type { TargetMember } from "oleandergap-membership";
import type { Attempt, AttemptContext } from "oleandergap-routing";
import type { RequestFailure } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { createContainedRefusal } from "../gate/containmentGuard.js";
import { observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { RequestBody } from "../http/requestBody.js";
import { FIRST_ERROR_STATUS } from "../http/requestResult.js";
import { fingerprintRequest, type FingerprintedRequest } from "../http/requestFingerprint.js";
import type { GateOutcome } from "./sendToGate.js";

/** Subset of the containment that the gateway uses. */
export type GatewayContainment = Pick<
    Containment<never>,
    "hasSuspects" | "judge" | "retryAfter" | "recordReportedCrash" | "recordRemoteGoodRun"
>;

/** Crash containment of one request. */
export interface RequestContainment {
    /**
     * Returns the reason why the request may not be sent after this number of attempts; undefined if it may be sent.
     */
    readonly findRefusal: (attempts: number) => RequestFailure | undefined;
    /** Returns the targets that the request may be sent to. */
    readonly chooseTargets: (targets: readonly TargetMember[]) => readonly TargetMember[];
    /** Returns whether the gate must not run the request at the same time as another suspect request. */
    readonly isSuspect: () => boolean;
    /** Records the failure of an attempt at `target`. */
    readonly recordFailure: (target: TargetMember, failure: RequestFailure) => void;
    /** Returns the response, with its end observed if it is relevant for the containment. */
    readonly observeResponse: (response: UpstreamResponse) => UpstreamResponse;
}

/** Creates the crash containment of one request. */
export type CreateRequestContainment = (request: FingerprintedRequest, body: RequestBody) => RequestContainment;

/** Sends the request to one target; for `isSuspect` see `GateRequest`. */
type SendAttempt = (target: TargetMember, isSuspect: boolean, context: AttemptContext) => Promise<GateOutcome>;

/** Wraps the attempts of a request with the containment rules that apply at the time of each attempt. */
export const sendWithContainment = (
    requestContainment: RequestContainment,
    send: SendAttempt,
): Attempt<TargetMember, UpstreamResponse> =>
    async (target, context) => {
        const result = await send(target, requestContainment.isSuspect(), context);
        if (either.isLeft(result.outcome)) {
            requestContainment.recordFailure(target, result.outcome.left);
            return result;
        }
        return { ...result, outcome: either.right(requestContainment.observeResponse(result.outcome.right)) };
    };

const UNRESTRICTED: Judgement = { kind: "Free" };

/**
 * Returns the only target that a request on probation may be sent to. All nodes with the same target list select the
 * same target, so that the request can crash only one target, even if many nodes send it at the same time.
 */
const chooseSingleTarget = (fingerprint: Fingerprint, targets: readonly TargetMember[]): readonly TargetMember[] =>
    rankByRendezvous(fingerprint, targets.filter(({ leaving }) => !leaving), ({ nodeId }) => nodeId).slice(0, 1);

/**
 * Creates the containment of requests. The fingerprint of a request is computed only while there are suspect requests.
 */
export const createRequestContainment = (
    containment: GatewayContainment,
): CreateRequestContainment => (request, body) => {
    let fingerprint: Fingerprint | undefined;
    let hasCrashed = false;
    const getFingerprint = (): Fingerprint => fingerprint ??= fingerprintRequest(request, body);
    const judge = (): Judgement => containment.hasSuspects() ? containment.judge(getFingerprint()) : UNRESTRICTED;

    return {
        findRefusal: (attempts) => {
            const judgement = judge();
            // A request that has just crashed its second target would crash a third one if it was sent again.
            const mustStop = attempts > 0 && hasCrashed && judgement.kind === "Probation";
            return mustStop ?
                { kind: "Refused", verdict: "notRun", reason: "Contained", retryAfterMs: 0 } :
                createContainedRefusal(containment, judgement);
        },
        chooseTargets: (targets) =>
            judge().kind === "Probation" ? chooseSingleTarget(getFingerprint(), targets) : targets,
        isSuspect: () => judge().kind !== "Free",
        recordFailure: ({ nodeId }, failure) => {
            if (failure.kind === "AnswerLost" && failure.crash !== undefined) {
                hasCrashed = true;
                containment.recordReportedCrash(failure.crash, nodeId, getFingerprint());
            }
        },
        observeResponse: (response) => !containment.hasSuspects() || response.statusCode >= FIRST_ERROR_STATUS ?
            response :
            {
                ...response,
                body: observeBody(response.body, {
                    onFinish: (failure) => {
                        if (failure === undefined) {
                            containment.recordRemoteGoodRun(getFingerprint());
                        }
                    },
                }),
            },
    };
};
