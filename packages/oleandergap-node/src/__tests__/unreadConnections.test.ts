import { createServer, type AddressInfo } from "node:net";
import { expect } from "chai";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createWatchedConnector } from "../http/socketEnd.js";
import { createCleanup, LOOPBACK } from "./support.js";

const TIMEOUT_MS = 250;

interface BlockedClock extends Clock {
    /** Lets time pass while the process stands still, and runs timers before anything that has arrived is read. */
    readonly block: (duration: Milliseconds) => void;
}

const createBlockedClock = (): BlockedClock => {
    let time = 0;
    const timers = new Set<{ readonly due: Milliseconds; readonly callback: () => void }>();
    return {
        now: () => time,
        monotonic: () => time,
        after: (delay, callback) => {
            const timer = { due: time + delay, callback };
            timers.add(timer);
            return () => {
                timers.delete(timer);
            };
        },
        sleep: () => Promise.resolve(),
        block: (duration) => {
            time += duration;
            for (const timer of [...timers].filter(({ due }) => due <= time)) {
                timers.delete(timer);
                timer.callback();
            }
        },
    };
};

describe("a node that was behind with its events", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    // Guards against an own delay that is taken for a target that cannot be reached.
    it("uses a connection that is open before it takes the other side for unreachable", async () => {
        const server = createServer();
        cleanup.add(() => server.close());
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        const { port } = server.address() as AddressInfo;
        const clock = createBlockedClock();
        const connect = createWatchedConnector({ clock, timeoutMs: TIMEOUT_MS });
        const outcome = new Promise<string>((resolve) => {
            connect({ hostname: LOOPBACK, protocol: "http:", port: String(port) }, (...[error, socket]) => {
                cleanup.add(() => socket?.destroy());
                resolve(error === null ? "open" : error.message);
            });
        });
        await new Promise<void>((resolve) => process.nextTick(resolve));
        clock.block(TIMEOUT_MS + 1);
        expect(await outcome).to.equal("open");
    });
});
