import type { ServerResponse } from "node:http";
import net from "node:net";
import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    call, createAnnouncement, createCleanup, LOOPBACK, startGate, startTarget, until, type Cleanup, type Received,
} from "./support.js";

const GATE_SILENCE_MS = 1200;
/** A probe is patient for half as long. */
const PROBE_SILENCE_MS = 600;
/** Time after which the request of a probe arrives. */
const ARRIVAL_MS = 490;
/** Longer than the first back-off. */
const BACK_OFF_MS = 1000;
const HEADERS = { host: HOST, "oleandergap-timeout-ms": "10000" };

type Handle = (response: ServerResponse) => void;

interface Relay {
    readonly port: number;
    /** Requests that it was given. */
    readonly requests: () => number;
    readonly hold: () => void;
    readonly release: () => void;
}

/** Stands for a link, or a node, that is behind: requests that are held arrive when they are released. */
const startRelay = async (cleanup: Cleanup, gatePort: number): Promise<Relay> => {
    let requests = 0;
    let isHeld = false;
    const held = new Set<() => void>();
    const sockets = new Set<net.Socket>();
    const server = net.createServer((near) => {
        const far = net.connect(gatePort, LOOPBACK);
        for (const socket of [near, far]) {
            sockets.add(socket);
            socket.on("error", () => undefined);
        }
        near.on("data", (chunk) => {
            requests += 1;
            const pass = (): void => void far.write(chunk);
            if (!isHeld) {
                pass();
                return;
            }
            held.add(pass);
            near.once("close", () => held.delete(pass));
        });
        far.on("data", (chunk) => near.write(chunk));
        near.on("close", () => far.destroy());
        far.on("close", () => near.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    cleanup(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        requests: () => requests,
        hold: () => {
            isHeld = true;
        },
        release: () => {
            isHeld = false;
            held.forEach((pass) => pass());
            held.clear();
        },
    };
};

describe("a run whose signs of life are late", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    /** A gateway in front of a gate that was silent to one request, and of another one. */
    interface Scene {
        readonly clock: ManualClock;
        readonly relay: Relay;
        /** Requests that run at the target behind the silent gate. */
        readonly runs: readonly ServerResponse[];
        readonly cuts: () => number;
        /** Requests at the other gate. */
        readonly others: () => number;
        /** How the other gate answers. */
        answerElsewhere: Handle;
        readonly ask: () => Promise<Received>;
        /** The gateway's node is told to stop. */
        readonly stop: () => void;
    }

    const startScene = async (): Promise<Scene> => {
        const clock = createManualClock();
        const runs: ServerResponse[] = [];
        let cuts = 0;
        let others = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs.push(response);
            response.once("close", () => {
                cuts += response.writableFinished ? 0 : 1;
            });
        });
        // Its clock stands still, so that it gives no signs.
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.keeper.announce(createAnnouncement(target));
        const relay = await startRelay(cleanup.add, gate.port);
        const other = await startTarget(cleanup.add, (request, response) => {
            others += 1;
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            scene.answerElsewhere(response);
        });
        const gateway = await startGateway(cleanup.add, {
            clock,
            targets: [createMember("a", relay.port), createMember("b", other)],
            gateSilenceMs: GATE_SILENCE_MS,
        });
        const scene: Scene = {
            clock,
            relay,
            runs,
            cuts: () => cuts,
            others: () => others,
            answerElsewhere: (response) => void response.end("other"),
            ask: () => call({ port: gateway.port, headers: HEADERS }),
            stop: gateway.announceClose,
        };
        return scene;
    };

    /** The next request probes the gate behind the relay. */
    const makeSilent = async ({ clock, relay, ask }: Scene): Promise<void> => {
        relay.hold();
        let pending = ask();
        while (relay.requests() === 0) {
            await Promise.race([pending, until(() => relay.requests() > 0)]);
            if (relay.requests() === 0) {
                pending = ask();
            }
        }
        let isAnswered = false;
        void pending.then(() => {
            isAnswered = true;
        });
        await clock.advance(GATE_SILENCE_MS);
        await until(() => relay.requests() === 2);
        while (!isAnswered) {
            await clock.advance(GATE_SILENCE_MS);
        }
        await clock.advance(BACK_OFF_MS);
    };

    /** Sends a probe whose run begins shortly before the patience with it is over, and lets that pass. */
    const startProbe = async (
        scene: Scene,
        answerElsewhere: Handle,
    ): Promise<{ readonly answer: Promise<Received> }> => {
        const { clock, relay, runs, ask, others, stop } = scene;
        await makeSilent(scene);
        scene.answerElsewhere = answerElsewhere;
        const answered = others();
        const answer = ask();
        await until(() => relay.requests() === 3);
        stop();
        await clock.advance(ARRIVAL_MS);
        relay.release();
        await until(() => runs.length === 1);
        await clock.advance(PROBE_SILENCE_MS - ARRIVAL_MS);
        await until(() => others() > answered);
        // Some turns, in which the other gate's answer is read.
        await clock.advance(1);
        await clock.advance(1);
        return { answer };
    };

    const refuse: Handle = (response) => {
        response.writeHead(429, { "oleandergap-verdict": "notRun", "oleandergap-reason": "LimitReached" });
        response.end();
    };

    // Guards against a run that is cut when the patience with the probe that started it is over.
    it("is answered when it was started by a probe and the request is refused elsewhere", async () => {
        const scene = await startScene();
        const { answer } = await startProbe(scene, refuse);
        scene.runs[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(scene.cuts()).to.equal(0);
    });

    // Guards against a run that is cut, before its deadline, although no other answer can come any more.
    it("is answered after a second silence when the request is refused elsewhere", async () => {
        const scene = await startScene();
        const { answer } = await startProbe(scene, refuse);
        await scene.clock.advance(PROBE_SILENCE_MS);
        scene.runs[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(scene.cuts()).to.equal(0);
    });
});
