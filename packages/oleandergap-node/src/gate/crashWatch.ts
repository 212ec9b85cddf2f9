/**
 * Finds out whether the own target ended under the requests that it ran.
 *
 * A lost connection alone does not say so: targets also reset connections when they are full, and links break. A
 * process that has ended has no listener; whoever connects is refused at once. A process that stood still itself may
 * read the loss when the target is back already; then the target's next lifetime tells.
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

/** A run that ended, as far as it may still tell of a crash. */
interface EndedRun {
    readonly fingerprint: Fingerprint;
    /** On the monotonic clock. */
    readonly endedAt: Milliseconds;
    /** Its connection ended while the target was in place; otherwise it was given up. */
    readonly isLost: boolean;
}

/** The runs of one lifetime of the target. */
interface Lifetime {
    readonly running: Set<GateRequest>;
    /** Lost or given up lately, the oldest first. */
    readonly ended: EndedRun[];
    check: Promise<CrashId | undefined> | undefined;
    crash: CrashId | undefined;
}

/** Losses of one crash are read within so long, also by a process that is behind; a run given up may go on so long. */
const SAME_CRASH_MS: Milliseconds = 1000;
/** Time after a loss in which a new lifetime of the target explains it. */
const LONGEST_RETURN_MS: Milliseconds = 10_000;
/** Ended runs that are kept: several times the slots of a target. */
const MOST_ENDED = 128;
/** On one VM a connection opens or is refused within a few milliseconds, also under load. */
const CONNECT_LIMIT_MS: Milliseconds = 250;
/** Time for which the answer to a lost run waits for its explanation; other nodes are told of a crash in any case. */
const LONGEST_EXPLANATION_MS: Milliseconds = 25;
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
            lifetime = { running: new Set(), ended: [], check: undefined, crash: undefined };
            lifetimes.set(gate, lifetime);
        }
        return lifetime;
    };

    const isRecent = ({ endedAt, isLost }: EndedRun): boolean =>
        clock.monotonic() - endedAt <= (isLost ? LONGEST_RETURN_MS : SAME_CRASH_MS);

    const noteEnd = ({ ended }: Lifetime, request: GateRequest, isLost: boolean): void => {
        const fingerprint = fingerprintRequest(request, request.body);
        ended.push({ fingerprint, endedAt: clock.monotonic(), isLost });
        if (ended.length > MOST_ENDED) {
            ended.shift();
        }
    };

    const tellCrash = (lifetime: Lifetime): void => {
        const running = [...lifetime.running].map((request) => fingerprintRequest(request, request.body));
        const ended = lifetime.ended.splice(0).filter(isRecent).map(({ fingerprint }) => fingerprint);
        lifetime.crash = noteCrash([...running, ...ended]);
    };

    const isInPlace = ({ gate }: LocalTarget): boolean => {
        const current = currentTarget();
        return current !== undefined && current.gate === gate && !current.leaving;
    };

    const check = async (target: LocalTarget, lifetime: Lifetime): Promise<CrashId | undefined> => {
        const isCrash = await isGone(target);
        lifetime.check = undefined;
        if (isCrash && isInPlace(target)) {
            tellCrash(lifetime);
            loseTarget(target);
        }
        return lifetime.crash;
    };

    /** A full target takes its time to accept a connection; who waits for the answer that was lost must not. */
    const awaitBriefly = (explanation: Promise<CrashId | undefined>): Promise<CrashId | undefined> =>
        new Promise((resolve) => {
            const cancel = clock.after(LONGEST_EXPLANATION_MS, () => resolve(undefined));
            void explanation.then((crash) => {
                cancel();
                resolve(crash);
            });
        });

    const explainLoss = (target: LocalTarget, lifetime: Lifetime): Promise<CrashId | undefined> => {
        if (lifetime.crash !== undefined || !isInPlace(target)) {
            return Promise.resolve(lifetime.crash);
        }
        lifetime.check ??= check(target, lifetime);
        return awaitBriefly(lifetime.check);
    };

    /** What the target before it lost was lost to its end, if that came without a word. */
    const explainEarlierLosses = ({ succeeds }: LocalTarget): void => {
        const earlier = succeeds === undefined ? undefined : lifetimes.get(succeeds);
        if (earlier === undefined || earlier.crash !== undefined) {
            return;
        }
        if (earlier.ended.some((run) => run.isLost && isRecent(run))) {
            tellCrash(earlier);
        }
    };

    return {
        begin: (target, request) => {
            explainEarlierLosses(target);
            const lifetime = findLifetime(target);
            lifetime.running.add(request);
            return {
                end: async (how) => {
                    lifetime.running.delete(request);
                    if (how === "Over") {
                        return undefined;
                    }
                    noteEnd(lifetime, request, how === "Lost" && isInPlace(target));
                    return how === "Lost" ? explainLoss(target, lifetime) : undefined;
                },
            };
        },
    };
};
