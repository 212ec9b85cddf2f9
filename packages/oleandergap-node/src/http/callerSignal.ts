/** Abort signals that follow whoever sent a request. */
import type { ServerResponse } from "node:http";

/** Signals of the requests that are under way. */
export interface CallerSignals {
    /** Aborts when the sender's connection closes before the answer was written whole, or when all are given up. */
    readonly create: (response: ServerResponse) => AbortSignal;
    /** Ends all requests under way, so that each still gets its final answer before the process ends. */
    readonly giveUpAll: () => void;
}

export const createCallerSignals = (): CallerSignals => {
    const controllers = new Set<AbortController>();
    return {
        create: (response) => {
            const controller = new AbortController();
            // Node.js ends a connection whose other side has ended, so that no answer would arrive any more.
            if (response.destroyed || response.req.socket.readableEnded) {
                controller.abort();
                return controller.signal;
            }
            controllers.add(controller);
            response.once("close", () => {
                controllers.delete(controller);
                if (!response.writableFinished) {
                    controller.abort();
                }
            });
            return controller.signal;
        },
        giveUpAll: () => controllers.forEach((controller) => controller.abort()),
    };
};
