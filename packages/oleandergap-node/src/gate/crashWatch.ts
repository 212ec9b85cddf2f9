/**
 * Finds out whether the own target ended under the requests that it ran.
 *
 * A lost connection alone does not say so: targets also reset connections when they are full, and links break. A
 * process that has ended has no listener; whoever connects is refused at once.
 */
import net from "node:net";
import type { CrashId, Fingerprint } from "oleandergap-containment";
import type { Clock, Milliseconds } from "oleandergap-types";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTarget } from "../target/targetKeeper.js";
import type { GateRequest } from "./gateRequest.js";

/** Whether nothing listens where the target did. Never rejects. */
export type IsGone = (target: LocalTarget) => Promise<boolean>;

/** How a run ended, as far as it tells of the target. */
export type RunEnd =
    /** An answer or a refusal came, or the request was not sent. */
    | "Over"
    /** The connection ended before the answer did. */
    | "Lost"
    /** Nobody waits any more; the target may go on with it. */
    | "GivenUp";

/** One run of the own target. */
export interface WatchedRun {
    /** Resolves with the crash that a lost run was lost to, if it was one. */
    readonly end: (how: RunEnd) => Promise<CrashId | undefined>;
}

/** Watches the runs of the own target. */
export interface CrashWatch {
    readonly begin: (target: LocalTarget, request: GateRequest) => WatchedRun;
}

/** What the watch is made from. */
export interface CrashWatchDependencies {
    readonly clock: Clock;
    readonly isGone: IsGone;
    /** The target that is there now; one that has left, or was replaced as planned, ends as planned. */
    readonly currentTarget: () => LocalTarget | undefined;
    /** Told once for each crash, with all requests that ran. */
    readonly noteCrash: (running: readonly Fingerprint[]) => CrashId;
    /** Told once for each crash: the target is not there any more. */
    readonly loseTarget: (target: LocalTarget) => void;
}

interface Run {
    readonly request: GateRequest;
    /** On the monotonic clock; undefined while it runs. */
    endedAt: Milliseconds | undefined;
}

/** The runs of one lifetime of the target. */
interface Lifetime {
    /** Those that run, those that were lost lately, and those that were given up lately. */
    readonly runs: Set<Run>;
    check: Promise<CrashId | undefined> | undefined;
    crash: CrashId | undefined;
}

/** Losses of one crash are read within so long, also by a process that is behind; a run given up may go on so long. */
const SAME_CRASH_MS: Milliseconds = 1000;
/** On one VM a connection opens or is refused within a few milliseconds, also under load. */
const CONNECT_LIMIT_MS: Milliseconds = 250;
/** A port without a listener; a connection that was made and then reset is no sign of an end. */
const REFUSED = "ECONNREFUSED";

/** Tries to connect to the target. */
export const createListenerCheck = (clock: Clock): IsGone => ({ announcement }) => new Promise((resolve) => {
    const socket = net.connect({ host: announcement.address, port: announcement.port });
    const settle = (isGone: boolean): void => {
        cancelTimer();
        socket.destroy();
        resolve(isGone);
    };
    const cancelTimer = clock.after(CONNECT_LIMIT_MS, () => settle(false));
    socket.on("connect", () => settle(false));
    socket.on("error", (error) => settle("code" in error && error.code === REFUSED));
});

/** Creates a watch without runs. */
export const createCrashWatch = (
    { clock, isGone, currentTarget, noteCrash, loseTarget }: CrashWatchDependencies,
): CrashWatch => {
    const lifetimes = new WeakMap<LocalTarget["gate"], Lifetime>();

    const findLifetime = ({ gate }: LocalTarget): Lifetime => {
        let lifetime = lifetimes.get(gate);
        if (lifetime === undefined) {
            lifetime = { runs: new Set(), check: undefined, crash: undefined };
            lifetimes.set(gate, lifetime);
        }
        return lifetime;
    };

    const forgetEnded = ({ runs }: Lifetime): void => {
        const oldest = clock.monotonic() - SAME_CRASH_MS;
        for (const run of runs) {
            if (run.endedAt !== undefined && run.endedAt < oldest) {
                runs.delete(run);
            }
        }
    };

    const isInPlace = ({ gate }: LocalTarget): boolean => {
        const current = currentTarget();
        return current !== undefined && current.gate === gate && !current.leaving;
    };

    const check = async (target: LocalTarget, lifetime: Lifetime): Promise<CrashId | undefined> => {
        const isCrash = isInPlace(target) && await isGone(target);
        lifetime.check = undefined;
        if (isCrash) {
            forgetEnded(lifetime);
            const running = [...lifetime.runs].map(({ request }) => fingerprintRequest(request, request.body));
            lifetime.crash = noteCrash(running);
            lifetime.runs.clear();
            loseTarget(target);
        }
        return lifetime.crash;
    };

    const explainLoss = (target: LocalTarget, lifetime: Lifetime): Promise<CrashId | undefined> => {
        if (lifetime.crash !== undefined) {
            return Promise.resolve(lifetime.crash);
        }
        lifetime.check ??= check(target, lifetime);
        return lifetime.check;
    };

    return {
        begin: (target, request) => {
            const lifetime = findLifetime(target);
            const run: Run = { request, endedAt: undefined };
            lifetime.runs.add(run);
            return {
                end: async (how) => {
                    run.endedAt = clock.monotonic();
                    if (how === "Over") {
                        lifetime.runs.delete(run);
                        return undefined;
                    }
                    forgetEnded(lifetime);
                    return how === "Lost" ? explainLoss(target, lifetime) : undefined;
                },
            };
        },
    };
};
