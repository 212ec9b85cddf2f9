/** Lets one run at a time begin; the others wait in order of arrival. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Lets the next one begin; further calls do nothing. */
export type EndTurn = () => void;

/** Bounds of a wait. */
export interface TurnRequest {
    /** On the monotonic clock. */
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
}

/** Turns that are taken one after the other. */
export interface SoleRuns {
    /** Resolves with the turn, or with undefined when the wait was given up, or too many wait already. */
    readonly take: (request: TurnRequest) => Promise<EndTurn | undefined>;
}

/** More waiting ones would mostly reach their deadlines. */
const MOST_WAITING = 32;

/** Creates free turns. */
export const createSoleRuns = (clock: Clock): SoleRuns => {
    const waiting = new Set<() => void>();
    let isTaken = false;

    const startTurn = (): EndTurn => {
        isTaken = true;
        let hasEnded = false;
        return () => {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            isTaken = false;
            const [next] = waiting;
            next?.();
        };
    };

    const wait = ({ deadline, signal }: TurnRequest): Promise<EndTurn | undefined> => new Promise((resolve) => {
        const leave = (): void => {
            waiting.delete(begin);
            cancelTimer();
            signal.removeEventListener("abort", giveUp);
        };
        const begin = (): void => {
            leave();
            resolve(startTurn());
        };
        const giveUp = (): void => {
            leave();
            resolve(undefined);
        };
        const cancelTimer = clock.after(deadline - clock.monotonic(), giveUp);
        signal.addEventListener("abort", giveUp, { once: true });
        waiting.add(begin);
    });

    return {
        take: (request) => {
            if (!isTaken) {
                return Promise.resolve(startTurn());
            }
            return waiting.size >= MOST_WAITING || request.signal.aborted ? Promise.resolve(undefined) : wait(request);
        },
    };
};
