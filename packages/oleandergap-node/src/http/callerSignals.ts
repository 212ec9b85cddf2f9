/** Abort signals that are tied to the connection of a request's sender. */
import type { ServerResponse } from "node:http";

/** Creates the signals of the requests in flight. */
export interface CallerSignals {
    /**
     * Returns a signal that aborts when the sender's connection closes before the response was written completely, or
     * when `abortAll` is called.
     */
    readonly create: (response: ServerResponse) => AbortSignal;
    /** Aborts all requests in flight, so that each of them still gets a final response before the process exits. */
    readonly abortAll: () => void;
}

export const createCallerSignals = (): CallerSignals => {
    const controllers = new Set<AbortController>();
    return {
        create: (response) => {
            const controller = new AbortController();
            const { socket } = response.req;
            // Node.js closes a connection whose remote side has ended, so a response could no longer be delivered.
            if (response.destroyed || socket.readableEnded) {
                controller.abort();
                return controller.signal;
            }
            controllers.add(controller);
            // The `close` event of the response fires several event loop iterations after the end of the connection was
            // read. A node with event loop lag checks for that end before it forwards a request and would miss it in
            // these iterations.
            const abortIfUnfinished = (): void => {
                if (!response.writableFinished) {
                    controller.abort();
                }
            };
            socket.once("end", abortIfUnfinished);
            response.once("close", () => {
                socket.removeListener("end", abortIfUnfinished);
                controllers.delete(controller);
                abortIfUnfinished();
            });
            return controller.signal;
        },
        abortAll: () => controllers.forEach((controller) => controller.abort()),
    };
};
