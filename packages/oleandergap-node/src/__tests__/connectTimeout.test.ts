import { Socket } from "node:net";
import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import type { buildConnector } from "undici";
import { createTrackedConnector } from "../http/socketEnd.js";

const TIMEOUT_MS = 250;
const TARGET = { hostname: "127.0.0.1", protocol: "http:", port: "9" };

describe("createTrackedConnector", () => {
    // Guards against requests that wait for targets in an unreachable zone until their callers disconnect. New
    // connections to such a zone get no response. The library checks its timeouts only every half second, which
    // extended 250 ms to 560 ms and more.
    it("aborts a connection attempt when its timeout has passed", async () => {
        const clock = createManualClock();
        const socket = new Socket();
        // Fails like the library does, with the error that the socket is destroyed with.
        const build = (): buildConnector.connector => (_target, callback) => {
            socket.once("error", (error) => callback(error, null));
            return socket;
        };
        const connect = createTrackedConnector({ clock, timeoutMs: TIMEOUT_MS, build });
        const failures: string[] = [];
        connect(TARGET, (...[error]) => {
            failures.push((error as { code?: string } | null)?.code ?? "");
        });
        await clock.advance(TIMEOUT_MS - 1);
        expect(socket.destroyed).to.equal(false);
        await clock.advance(1);
        await new Promise((resolve) => setImmediate(resolve));
        expect(failures).to.deep.equal(["UND_ERR_CONNECT_TIMEOUT"]);
    });

    it("keeps a connection that was established within the timeout", async () => {
        const clock = createManualClock();
        const socket = new Socket();
        const build = (): buildConnector.connector => (_target, callback) => {
            clock.after(10, () => callback(null, socket));
            return socket;
        };
        createTrackedConnector({ clock, timeoutMs: TIMEOUT_MS, build })(TARGET, () => undefined);
        await clock.advance(10 * TIMEOUT_MS);
        expect(socket.destroyed).to.equal(false);
        socket.destroy();
    });
});
