/** Wires the watch over the runs of the own target. */
import type { Containment } from "oleandergap-containment";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { TargetKeeper } from "../target/targetKeeper.js";
import { createLastLook } from "./carefulServe.js";
import { createCrashWatch, createListenerCheck } from "./crashWatch.js";
import { createLostRunLog } from "./lostRunLog.js";
import { createWatchRun, type WatchRun } from "./watchedRun.js";

/** What the watch is made from. */
export interface RunWatchDependencies {
    readonly clock: Clock;
    readonly containment: Containment<never>;
    readonly createPartLogger: (part: string) => Logger;
    readonly target: Pick<TargetKeeper, "current" | "lose">;
}

/** Watches the runs of the own target for crashes and good ends. */
export const createRunWatch = (
    { clock, containment, createPartLogger, target }: RunWatchDependencies,
): WatchRun => createWatchRun({
    clock,
    crashWatch: createCrashWatch({
        clock,
        isGone: createListenerCheck(clock),
        currentTarget: target.current,
        noteCrash: containment.noteOwnCrash,
        loseTarget: ({ gate }) => target.lose(gate),
    }),
    findObstacle: createLastLook(containment),
    noteGoodRun: (request) => {
        if (containment.hasSuspects()) {
            containment.noteGoodRun(fingerprintRequest(request, request.body));
        }
    },
    logLostRun: createLostRunLog(clock, createPartLogger("gate")),
});
