/** How the gateway treats one request by what is known of crashes under its like. */
import * as either from "fp-ts/lib/Either.js";
import type { Containment, Fingerprint, Judgement } from "oleandergap-containment";
import type { TargetMember } from "oleandergap-membership";
import type { Attempt, AttemptContext } from "oleandergap-routing";
import type { RequestFailure } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { refuseContained } from "../gate/carefulServe.js";
import { observeBody, type Answer } from "../http/answer.js";
import type { RequestBody } from "../http/requestBody.js";
import { FIRST_ERROR_STATUS } from "../http/requestEnd.js";
import { fingerprintRequest, type NamedRequest } from "../http/requestFingerprint.js";
import type { GateOutcome } from "./sendToGate.js";

/** The part of the containment that the gateway asks and tells. */
export type GatewayContainment = Pick<
    Containment<never>,
    "hasSuspects" | "judge" | "retryAfter" | "noteCrash" | "hearGoodRun"
>;

/** The treatment of one request. */
export interface RequestCare {
    /** Why it may not be sent, after so many attempts, if so. */
    readonly findObstacle: (attempts: number) => RequestFailure | undefined;
    /** The targets that it may be sent to. */
    readonly chooseTargets: (targets: readonly TargetMember[]) => readonly TargetMember[];
    /** Whether its gate is to run it beside no other suspect. */
    readonly isSuspect: () => boolean;
    /** Takes in why an attempt at `target` failed. */
    readonly noteFailure: (target: TargetMember, failure: RequestFailure) => void;
    /** The answer, watched for its end if that can tell anything. */
    readonly watchAnswer: (answer: Answer) => Answer;
}

/** Creates the treatment of one request. */
export type CreateRequestCare = (request: NamedRequest, body: RequestBody) => RequestCare;

/** Sends the request to one target; `isSuspect` as in `GateRequest`. */
type SendOnce = (target: TargetMember, isSuspect: boolean, context: AttemptContext) => Promise<GateOutcome>;

/** The attempts of a request, each with the care that is due by then. */
export const sendWithCare = (care: RequestCare, send: SendOnce): Attempt<TargetMember, Answer> =>
    async (target, context) => {
        const result = await send(target, care.isSuspect(), context);
        if (either.isLeft(result.outcome)) {
            care.noteFailure(target, result.outcome.left);
            return result;
        }
        return { ...result, outcome: either.right(care.watchAnswer(result.outcome.right)) };
    };

const FREE: Judgement = { kind: "Free" };

/**
 * The one target that a request on probation goes to: the same from all nodes that know the same targets, so that its
 * next crash is one crash, however many send it at once.
 */
const chooseOne = (fingerprint: Fingerprint, targets: readonly TargetMember[]): readonly TargetMember[] =>
    rankByRendezvous(fingerprint, targets.filter(({ leaving }) => !leaving), ({ nodeId }) => nodeId).slice(0, 1);

/** Creates treatments; the name of a request is computed when something is held against any. */
export const createRequestCare = (containment: GatewayContainment): CreateRequestCare => (request, body) => {
    let fingerprint: Fingerprint | undefined;
    let hasCrashed = false;
    const name = (): Fingerprint => fingerprint ??= fingerprintRequest(request, body);
    const judge = (): Judgement => containment.hasSuspects() ? containment.judge(name()) : FREE;

    return {
        findObstacle: (attempts) => {
            const judgement = judge();
            // Sent on, a request that has just crashed its second target would take the third one with it.
            const mustStop = attempts > 0 && hasCrashed && judgement.kind === "Probation";
            return mustStop ?
                { kind: "Refused", verdict: "notRun", reason: "Contained", retryAfterMs: 0 } :
                refuseContained(containment, judgement);
        },
        chooseTargets: (targets) => judge().kind === "Probation" ? chooseOne(name(), targets) : targets,
        isSuspect: () => judge().kind !== "Free",
        noteFailure: ({ nodeId }, failure) => {
            if (failure.kind === "AnswerLost" && failure.crash !== undefined) {
                hasCrashed = true;
                containment.noteCrash(failure.crash, nodeId, name());
            }
        },
        watchAnswer: (answer) => !containment.hasSuspects() || answer.statusCode >= FIRST_ERROR_STATUS ?
            answer :
            {
                ...answer,
                body: observeBody(answer.body, {
                    onFinish: (failure) => {
                        if (failure === undefined) {
                            containment.hearGoodRun(name());
                        }
                    },
                }),
            },
    };
};
