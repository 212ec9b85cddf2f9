/** A clock for discrete-event runs: time advances from one event to the next. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "oleandergap-utils";

interface VirtualTimer {
    readonly due: Milliseconds;
    readonly order: number;
    /** Undefined after cancellation. The timer itself stays in the heap until it is due. */
    callback: (() => void) | undefined;
}

/** A clock whose time does not advance between events. */
export interface VirtualClock extends Clock {
    /** Runs all events up to `end` and lets promises settle after each. */
    readonly runUntil: (end: Milliseconds) => Promise<void>;
}

const isBefore = (left: VirtualTimer, right: VirtualTimer): boolean =>
    left.due !== right.due ? left.due < right.due : left.order < right.order;

/** Creates a binary heap, because a run holds thousands of timers at once. */
const createTimerHeap = (): { push: (timer: VirtualTimer) => void; pop: () => VirtualTimer | undefined } => {
    const heap: VirtualTimer[] = [];

    const swap = (left: number, right: number): void => {
        const moved = heap[left];
        const other = heap[right];
        if (moved !== undefined && other !== undefined) {
            heap[left] = other;
            heap[right] = moved;
        }
    };

    const precedes = (left: number, right: number): boolean => {
        const first = heap[left];
        const second = heap[right];
        return first !== undefined && second !== undefined && isBefore(first, second);
    };

    const siftUp = (start: number): void => {
        for (
            let position = start;
            position > 0 && precedes(position, (position - 1) >> 1);
            position = (position - 1) >> 1
        ) {
            swap(position, (position - 1) >> 1);
        }
    };

    const siftDown = (): void => {
        let position = 0;
        for (;;) {
            const left = 2 * position + 1;
            const smaller = precedes(left + 1, left) ? left + 1 : left;
            if (!precedes(smaller, position)) {
                return;
            }
            swap(smaller, position);
            position = smaller;
        }
    };

    return {
        push: (timer) => {
            heap.push(timer);
            siftUp(heap.length - 1);
        },
        pop: () => {
            swap(0, heap.length - 1);
            const first = heap.pop();
            siftDown();
            return first;
        },
    };
};

/** Creates a clock whose wall-clock and monotonic times both start at 0. */
export const createVirtualClock = (): VirtualClock => {
    const timers = createTimerHeap();
    let time = 0;
    let order = 0;

    const after = (delay: Milliseconds, callback: () => void): CancelTimer => {
        const timer: VirtualTimer = { due: time + Math.max(0, delay), order: order++, callback };
        timers.push(timer);
        return () => {
            timer.callback = undefined;
        };
    };

    const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

    const runUntil = async (end: Milliseconds): Promise<void> => {
        for (let timer = timers.pop(); timer !== undefined; timer = timers.pop()) {
            if (timer.due > end) {
                timers.push(timer);
                break;
            }
            if (timer.callback !== undefined) {
                time = timer.due;
                timer.callback();
                await flushPromises();
            }
        }
        time = end;
    };

    return { now: () => time, monotonic: () => time, after, sleep: createSleep(after), runUntil };
};
