/** Messages that ask for tokens: repeats them until they are answered, and gives up after a time limit. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";
import type { Ask } from "./quotaMessage.js";
import type { QuotaPeer } from "./quotaNetwork.js";

/** Times after the first sending at which a message is repeated. */
const REPEAT_AFTER_MS: readonly Milliseconds[] = [60, 150];
/** Time limit. Longer than usual delays of a node that is short of processor time. */
const GIVE_UP_AFTER_MS: Milliseconds = 250;

export interface PendingAsk {
    readonly owner: QuotaPeer;
    readonly ask: Ask;
    readonly sentAt: Milliseconds;
}

export interface PendingAsks {
    /** Sends a message, and repeats it until {@link PendingAsks.take} is called for its id. */
    readonly send: (owner: QuotaPeer, ask: Ask) => void;
    /** Ends the repetition, and returns the message; undefined if it was answered before or given up. */
    readonly take: (id: number) => PendingAsk | undefined;
}

export interface PendingAsksDependencies {
    readonly clock: Clock;
    readonly send: (to: QuotaPeer, ask: Ask) => void;
    /** Called when the time limit of a message has passed. */
    readonly onGivenUp: (pending: PendingAsk) => void;
}

interface Entry extends PendingAsk {
    cancel: CancelTimer;
}

export const createPendingAsks = ({ clock, send, onGivenUp }: PendingAsksDependencies): PendingAsks => {
    const entries = new Map<number, Entry>();

    const take = (id: number): PendingAsk | undefined => {
        const entry = entries.get(id);
        entry?.cancel();
        entries.delete(id);
        return entry;
    };

    const scheduleNext = (entry: Entry, repetition: number): void => {
        const dueAfter = REPEAT_AFTER_MS[repetition];
        const delay = Math.max(0, entry.sentAt + (dueAfter ?? GIVE_UP_AFTER_MS) - clock.monotonic());
        entry.cancel = startReadAwareTimer(clock, delay, () => {
            if (dueAfter === undefined) {
                entries.delete(entry.ask.id);
                onGivenUp(entry);
                return;
            }
            send(entry.owner, entry.ask);
            scheduleNext(entry, repetition + 1);
        });
    };

    return {
        send: (owner, ask) => {
            const entry: Entry = { owner, ask, sentAt: clock.monotonic(), cancel: () => undefined };
            entries.set(ask.id, entry);
            scheduleNext(entry, 0);
            send(owner, ask);
        },
        take,
    };
};
