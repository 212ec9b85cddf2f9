/** Context and helpers that the steps of the check share. */
import type { CallRequest, Caller, CallResult } from "oleandergap-standins";
import type { Clock, ServiceReference } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { Fleet } from "../fleet/fleet.js";
import type { ServicePlan } from "../plan/fleetPlan.js";

/** A running fleet and the tools to test it. */
export interface CheckContext {
    readonly fleet: Fleet;
    readonly caller: Caller;
    readonly clock: Clock;
    readonly random: Random;
    /** Aborts when the time limit of the check is reached or the check is interrupted. */
    readonly signal: AbortSignal;
    /** Receives each observation as a line of text. */
    readonly report: (line: string) => void;
}

/** A service of a partner together with its row of the table. */
export interface ServedService {
    readonly reference: ServiceReference;
    readonly plan: ServicePlan;
}

/** Returns the services that have at least one target in the fleet. */
export const listServedServices = ({ plan }: Fleet): readonly ServedService[] =>
    plan.partners.flatMap(({ partner, services }) => services
        .filter(({ service }) => plan.vms.some(({ target }) =>
            target?.partner === partner && target.service === service))
        .map((service) => ({ reference: { partner, service: service.service }, plan: service })));

const REQUEST_TIMEOUT = 5000;
const encoder = new TextEncoder();

/** Creates a request that the service accepts, with an idempotency key if the table requires one. */
export const createCheckRequest = ({ reference, plan }: ServedService, runKey: string): CallRequest => ({
    service: reference,
    method: "POST",
    path: `/check/${runKey}`,
    runKey,
    body: encoder.encode(`page of ${runKey}`),
    timeoutMs: REQUEST_TIMEOUT,
    ...(plan.idempotency === "required" ? { idempotencyKey: runKey } : {}),
});

/** Describes a result in one human-readable line. */
export const describeResult = (result: CallResult): string => {
    switch (result.kind) {
        case "Answered":
            return `answered by ${result.target} from version ${result.version ?? "unknown"}`;
        case "Refused":
            return `refused with ${result.status} ${result.reason ?? ""} (${result.verdict ?? "no verdict"})`;
        case "Failed":
            return `failed: ${result.detail} (${result.verdict})`;
        case "Wrong":
            return `received a wrong response: ${result.detail}`;
    }
};
