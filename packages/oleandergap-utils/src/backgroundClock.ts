/**
 * A clock whose timers fire together, for work that may be a little late.
 *
 * A node has a dozen periodic duties. With a timer of its own for each, a node that does nothing wakes fifty times a
 * second; on a VM that several processes share, each time with cold caches. One would see resting nodes take as much
 * processor time as those that serve. Here all timers fire at the multiples of one step, so that a turn of the event
 * loop does whatever is due.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

/** Timers may fire this much before their time; a duty that takes a moment would otherwise miss every second step. */
const SLACK_MS: Milliseconds = 10;

interface Turn {
    readonly at: Milliseconds;
    readonly callbacks: Set<() => void>;
}

/** Timers of the result fire up to `stepMs` late, at multiples of it; its times are those of `clock`. */
export const createBackgroundClock = (clock: Clock, stepMs: Milliseconds): Clock => {
    const turns = new Map<number, Turn>();
    let armed: { readonly at: Milliseconds; readonly cancel: CancelTimer } | undefined;

    const listDue = (now: Milliseconds): readonly Turn[] =>
        [...turns.values()].filter(({ at }) => at <= now + SLACK_MS).sort((left, right) => left.at - right.at);

    const arm = (): void => {
        const next = Math.min(...[...turns.values()].map(({ at }) => at));
        if (next === armed?.at) {
            return;
        }
        armed?.cancel();
        armed = undefined;
        if (turns.size > 0) {
            armed = { at: next, cancel: clock.after(Math.max(0, next - clock.monotonic()), run) };
        }
    };

    const run = (): void => {
        armed = undefined;
        const due = listDue(clock.monotonic());
        for (const turn of due) {
            turns.delete(turn.at);
        }
        // Armed first, so that a duty that throws does not keep the later ones from their time.
        arm();
        for (const turn of due) {
            for (const callback of turn.callbacks) {
                callback();
            }
        }
    };

    const after: Clock["after"] = (delay, callback) => {
        const at = Math.ceil((clock.monotonic() + delay - SLACK_MS) / stepMs) * stepMs;
        const turn = turns.get(at) ?? { at, callbacks: new Set<() => void>() };
        turns.set(at, turn);
        // Wrapped, so that the same function can wait twice.
        const entry = (): void => callback();
        turn.callbacks.add(entry);
        arm();
        return () => {
            turn.callbacks.delete(entry);
            if (turn.callbacks.size === 0 && turns.get(at) === turn) {
                turns.delete(at);
                arm();
            }
        };
    };

    return { now: clock.now, monotonic: clock.monotonic, after, sleep: createSleep(after) };
};
