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
            const { socket } = response.req;
            // Node.js ends a connection whose other side has ended, so that no answer would arrive any more.
            if (response.destroyed || socket.readableEnded) {
                controller.abort();
                return controller.signal;
            }
            controllers.add(controller);
            // The answer's own close comes some turns of the event loop after the end of the connection was read. A
            // node that is behind looks for that end before it hands a request on, and would miss it by these turns.
            const leave = (): void => {
                if (!response.writableFinished) {
                    controller.abort();
                }
            };
            socket.once("end", leave);
            response.once("close", () => {
                socket.removeListener("end", leave);
                controllers.delete(controller);
                leave();
            });
            return controller.signal;
        },
        giveUpAll: () => controllers.forEach((controller) => controller.abort()),
    };
};
