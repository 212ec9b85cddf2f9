/** Wires the observation of runs at the local target. */
import type { Containment } from "oleandergap-containment";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTargetManager } from "../target/localTargetManager.js";
import { createContainmentCheck } from "./containmentGuard.js";
import { createCrashDetector, createListenerProbe } from "./crashDetector.js";
import { createLostRunLog } from "./lostRunLog.js";
import { createRunObserver, type ObserveRun } from "./runObserver.js";

/** Dependencies of the run observer. */
export interface TargetRunObserverDependencies {
    readonly clock: Clock;
    readonly containment: Containment<never>;
    readonly createPartLogger: (part: string) => Logger;
    readonly target: Pick<LocalTargetManager, "current" | "removeTarget">;
}

/** Creates the observer that detects crashes and successful runs of the local target. */
export const createTargetRunObserver = (
    { clock, containment, createPartLogger, target }: TargetRunObserverDependencies,
): ObserveRun => createRunObserver({
    clock,
    crashDetector: createCrashDetector({
        clock,
        isListenerGone: createListenerProbe(clock),
        currentTarget: target.current,
        recordCrash: containment.recordLocalCrash,
        removeCrashedTarget: ({ gate }) => target.removeTarget(gate),
    }),
    findRefusal: createContainmentCheck(containment),
    recordGoodRun: (request) => {
        if (containment.hasSuspects()) {
            containment.recordLocalGoodRun(fingerprintRequest(request, request.body));
        }
    },
    logLostRun: createLostRunLog(clock, createPartLogger("gate")),
});
