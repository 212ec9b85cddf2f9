/**
 * Reference model of the distribution, for comparison: every node polls the platform's heads and reads newer documents.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, PartnerName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { ConfigurationSourcePort } from "../ports.js";
import { createRecordingStore, type RecordingStore } from "./recordingStore.js";

export interface PollingNodeOptions {
    readonly partners: readonly PartnerName[];
    readonly source: ConfigurationSourcePort;
    readonly clock: Clock;
    readonly random: Random;
    readonly intervalMs: Milliseconds;
    readonly signal: AbortSignal;
}

/** Starts a node that polls until the signal aborts. Returns the store of the node. */
export const startPollingNode = (
    { partners, source, clock, random, intervalMs, signal }: PollingNodeOptions,
): RecordingStore => {
    const store = createRecordingStore(partners);

    const poll = async (): Promise<void> => {
        const heads = await source.readHeads(partners, signal)();
        for (const head of either.isRight(heads) ? heads.right.filter(store.needsVersion) : []) {
            const document = await source.readDocument(head.partner, signal)();
            if (either.isRight(document) && document.right !== undefined) {
                store.offerDocument(document.right);
            }
        }
        schedulePoll(intervalMs);
    };

    const schedulePoll = (delay: Milliseconds): void => {
        if (!signal.aborted) {
            clock.after(delay, () => void poll());
        }
    };

    schedulePoll(random() * intervalMs);
    return store;
};
