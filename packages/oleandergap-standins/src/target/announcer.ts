/**
 * Registers the target periodically with the node on its VM. The announcements are heartbeats: after a node restarts
 * without stored state, the next announcement registers the target again.
 */
import { request } from "undici";
import type { Announcement, Clock, Milliseconds } from "oleandergap-types";

/** Options of an announcer. `createAnnouncement` is called for each announcement, so that the content may change. */
export interface AnnouncerOptions {
    readonly node: { readonly address: string; readonly adminPort: number };
    readonly createAnnouncement: () => Announcement;
    readonly intervalMs: Milliseconds;
    readonly clock: Clock;
}

/** Client of the node for one target. No method rejects. */
export interface Announcer {
    /** Announces the target periodically until `signal` aborts. */
    readonly start: (signal: AbortSignal) => void;
    /** Announces the target once, immediately. Resolves with false if the node did not accept the announcement. */
    readonly announce: () => Promise<boolean>;
    /** Removes the target from the node. */
    readonly withdraw: () => Promise<boolean>;
}

const CALL_TIMEOUT_MS = 2000;
const FIRST_ERROR_STATUS = 400;

/** Creates an announcer. It sends nothing before `start`, `announce` or `withdraw` is called. */
export const createAnnouncer = ({ node, createAnnouncement, intervalMs, clock }: AnnouncerOptions): Announcer => {
    const url = `http://${node.address}:${node.adminPort}/v1/target`;

    const sendToNode = async (method: "PUT" | "DELETE", body?: Announcement): Promise<boolean> => {
        try {
            const response = await request(url, {
                method,
                signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
                ...(body === undefined ? {} : {
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify(body),
                }),
            });
            await response.body.dump();
            return response.statusCode < FIRST_ERROR_STATUS;
        }
        catch {
            // The node is down or restarting. A later announcement will register the target.
            return false;
        }
    };

    const announce = (): Promise<boolean> => sendToNode("PUT", createAnnouncement());

    const announceRepeatedly = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await announce();
            await clock.sleep(intervalMs, signal);
        }
    };

    return {
        start: (signal) => {
            void announceRepeatedly(signal);
        },
        announce,
        withdraw: () => sendToNode("DELETE"),
    };
};
