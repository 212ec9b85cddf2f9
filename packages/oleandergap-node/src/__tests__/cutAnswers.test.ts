import { expect } from "chai";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createLoopLag } from "../http/loopLag.js";
import { call, createAnnouncement, createCleanup, startGate, startRawTarget } from "./support.js";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n";

describe("answers that end with their connection", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();

    afterEach(() => cleanup.run());

    /** What a caller of the gate receives from a target that sends `text` and then ends the connection. */
    const receive = async (text: string, end: "Reset" | "Finished", pauseMs = 20): Promise<{ whole: boolean; body: string }> => {
        const target = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => {
                socket.write(text, () => {
                    const finish = (): unknown => end === "Reset" ? socket.resetAndDestroy() : socket.end();
                    if (pauseMs === 0) {
                        finish();
                        return;
                    }
                    setTimeout(finish, pauseMs);
                });
            });
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const headers = {
            "oleandergap-service": "halloway/grant-filer",
            "oleandergap-request-id": "a",
            "oleandergap-timeout-ms": "5000",
        };
        const received = await call({ port: gate.port, path: "/", headers });
        return { whole: received.whole, body: received.body.toString("utf8") };
    };

    // Symptom: a caller receives a part of a document, framed as all of it.
    // Sequence: a target answers with `connection: close` and breaks off within the body.
    // Cause: the HTTP client takes the end of such a connection for the end of the answer, whatever is missing.
    it("does not pass on as whole what was reset or lacks its last chunk", async () => {
        const chunked = `${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`;
        expect((await receive(chunked, "Reset")).whole).to.equal(false);
        expect((await receive(chunked, "Finished")).whole).to.equal(false);
        expect((await receive(`${HEAD}\r\nhello`, "Reset")).whole).to.equal(false);
        expect((await receive(`${HEAD}content-length: 9\r\n\r\nhello`, "Reset")).whole).to.equal(false);
        expect((await receive(`${HEAD}content-length: 9\r\n\r\nhello`, "Finished")).whole).to.equal(false);
    });

    // Symptom: as above, but only for answers without a length.
    // Sequence: the last data and the reset of the connection arrive at the same moment.
    // Cause: the runtime reports the data and then an end of the connection, and never the reset.
    it("notices a reset that arrives together with the last data", async () => {
        for (let round = 0; round < 5; round++) {
            expect((await receive(`${HEAD}\r\nhello`, "Reset", 0)).whole).to.equal(false);
        }
        for (let round = 0; round < 5; round++) {
            expect((await receive(`${HEAD}\r\nhello`, "Finished", 0)).whole).to.equal(true);
        }
    });

    it("passes on what is whole", async () => {
        const whole = { whole: true, body: "hello" };
        expect(await receive(`${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`, "Finished"))
            .to.deep.equal(whole);
        expect(await receive(`${HEAD}\r\nhello`, "Finished")).to.deep.equal(whole);
        expect(await receive(`${HEAD}content-length: 5\r\n\r\nhello`, "Reset")).to.deep.equal(whole);
    });
});

describe("createLoopLag", () => {
    it("lets what has arrived be read while the process is behind, and not longer", async () => {
        const clock = createManualClock();
        let turns = 0;
        const pauses: number[] = [];
        const turn = async (): Promise<void> => {
            turns += 1;
        };
        const lag = createLoopLag({ clock, turn, onPause: (lagMs) => pauses.push(lagMs) });
        const life = new AbortController();
        lag.start(life.signal);
        await clock.advance(200);
        expect(lag.catchUp()).to.equal(undefined);
        clock.freeze(400);
        await clock.advance(1);
        await lag.catchUp();
        expect(turns).to.equal(2);
        expect(pauses).to.have.length(1);
        await clock.advance(600);
        expect(lag.catchUp()).to.equal(undefined);
        life.abort();
    });

    /*
     * Symptom: in a burst, requests are held up at nodes that are busy, but read their sockets in time.
     * Sequence: each turn of the event loop takes 40 ms; a look comes late, and the next one is due a moment later.
     * Cause: looks fell on fixed moments; two of them followed each other within one turn, and the second was late.
     */
    it("looks a whole interval after the last look while requests come", async () => {
        const clock = createManualClock(1_000_000);
        const lag = createLoopLag({ clock, turn: async () => undefined, onPause: () => undefined });
        const life = new AbortController();
        lag.start(life.signal);
        void lag.catchUp();
        // From the first quiet look on, one look each 70 ms: 20 ms after it is due.
        await clock.advance(100);
        let behind = 0;
        for (let turn = 0; turn < 20; turn++) {
            clock.freeze(69);
            behind += lag.catchUp() === undefined ? 0 : 1;
            await clock.advance(1);
        }
        life.abort();
        expect(behind).to.equal(0);
    });

    /*
     * Symptom: a request reaches its target over a second after its caller left.
     * Sequence: the process stands still; the caller's request and its hanging up arrive; the process goes on and reads
     *   the request in the same turn of the event loop, before any timer fires.
     * Cause: only the timer noticed that the process was behind.
     */
    it("notices a pause before its timer does", async () => {
        const clock = createManualClock();
        let turns = 0;
        const turn = async (): Promise<void> => {
            turns += 1;
        };
        const lag = createLoopLag({ clock, turn, onPause: () => undefined });
        const life = new AbortController();
        lag.start(life.signal);
        await clock.advance(200);
        clock.freeze(400);
        await lag.catchUp();
        expect(turns).to.equal(2);
        life.abort();
    });
});
