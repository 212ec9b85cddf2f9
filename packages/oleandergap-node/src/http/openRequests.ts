/** The requests of a listener that are in flight: their abort signals, and how far their responses have got. */
import type { ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "oleandergap-types";

/** Why a request was aborted. The reason of its abort signal. */
export type AbortCause = "CallerDisconnected" | "NodeStopping";

/** A request whose response is not complete yet. */
export interface OpenRequest {
    /** Id that the caller assigned. */
    readonly requestId: string | undefined;
    /** Time since the request was opened. */
    readonly openMs: Milliseconds;
    /** Status of the response; undefined if the response has not begun. */
    readonly statusCode: number | undefined;
    /** Bytes written to the connection since the request was opened, including the head of the response. */
    readonly sentBytes: number;
}

/** Number of requests since the start of the node, by their ends. */
export interface OpenRequestCounts {
    readonly opened: number;
    /** Requests whose response was written completely. */
    readonly finished: number;
    /** Requests whose sender disconnected first. */
    readonly abandoned: number;
    /** Requests that were aborted because the node stops. */
    readonly aborted: number;
}

/** Creates the signals of the requests in flight. */
export interface OpenRequests {
    /**
     * Returns a signal that aborts when the sender's connection closes before the response was written completely, or
     * when `abortAll` is called. Its reason is an {@link AbortCause}.
     */
    readonly open: (response: ServerResponse, requestId: string | undefined) => AbortSignal;
    /** Aborts all requests in flight, so that each of them still gets a final response before the process exits. */
    readonly abortAll: () => void;
    readonly list: () => readonly OpenRequest[];
    readonly counts: () => OpenRequestCounts;
}

interface Entry {
    readonly controller: AbortController;
    readonly describe: () => OpenRequest;
}

/** Returns the cause for which a signal of an open request was aborted. */
export const getAbortCause = ({ reason }: AbortSignal): AbortCause =>
    reason === "NodeStopping" ? "NodeStopping" : "CallerDisconnected";

const createDescription = (
    clock: Clock,
    response: ServerResponse,
    requestId: string | undefined,
): Entry["describe"] => {
    const { socket } = response.req;
    const openedAt = clock.monotonic();
    const bytesBefore = socket.bytesWritten;
    return () => ({
        requestId,
        openMs: clock.monotonic() - openedAt,
        statusCode: response.headersSent ? response.statusCode : undefined,
        sentBytes: socket.bytesWritten - socket.writableLength - bytesBefore,
    });
};

export const createOpenRequests = (clock: Clock): OpenRequests => {
    const entries = new Set<Entry>();
    const counts = { opened: 0, finished: 0, abandoned: 0, aborted: 0 };

    const abort = ({ controller }: Entry, cause: AbortCause): void => {
        if (!controller.signal.aborted) {
            counts[cause === "NodeStopping" ? "aborted" : "abandoned"] += 1;
            controller.abort(cause);
        }
    };

    return {
        open: (response, requestId) => {
            counts.opened += 1;
            const describe = createDescription(clock, response, requestId);
            const entry: Entry = { controller: new AbortController(), describe };
            const { signal } = entry.controller;
            const { socket } = response.req;
            // Node.js closes a connection whose remote side has ended, so a response could no longer be delivered.
            if (response.destroyed || socket.readableEnded) {
                abort(entry, "CallerDisconnected");
                return signal;
            }
            entries.add(entry);
            // The `close` event of the response fires several event loop iterations after the end of the connection was
            // read. A node with event loop lag checks for that end before it forwards a request and would miss it in
            // these iterations.
            const abortIfUnfinished = (): void => {
                if (!response.writableFinished) {
                    abort(entry, "CallerDisconnected");
                }
            };
            socket.once("end", abortIfUnfinished);
            response.once("close", () => {
                socket.removeListener("end", abortIfUnfinished);
                entries.delete(entry);
                abortIfUnfinished();
                counts.finished += signal.aborted ? 0 : 1;
            });
            return signal;
        },
        abortAll: () => entries.forEach((entry) => abort(entry, "NodeStopping")),
        list: () => [...entries].map(({ describe }) => describe()),
        counts: () => ({ ...counts }),
    };
};
