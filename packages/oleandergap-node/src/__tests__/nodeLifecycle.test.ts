import type { ServerResponse } from "node:http";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { createReadinessState } from "../admin/readiness.js";
import { createOpenRequests } from "../http/openRequests.js";
import { createNodeLifecycle, type LifecycleDependencies, type NodeLifecycle } from "../nodeLifecycle.js";
import { sendHttpRequest, createCleanup, LOOPBACK, reservePorts, waitUntil, type ReceivedResponse } from "./support.js";

const DRAIN_MS = 5000;
/** Time after the drain timeout within which the stop must be complete. */
const MAX_STOP_OVERRUN_MS = 600;
const STOP = { serveMs: 1900, serveLongestMs: 3500, acceptMs: 2300, lingerMs: 200, drainTimeoutMs: DRAIN_MS };

const neverResolve = (): Promise<never> => new Promise(() => undefined);
const resolveImmediately = (): Promise<void> => Promise.resolve();

/** The operations that a stop waits for. By default, each completes immediately. */
interface StopOperations {
    readonly leaveMembership: () => Promise<void>;
    readonly stopTarget: () => Promise<void>;
    readonly leaveClaims: () => Promise<void>;
    readonly drainClaims: () => Promise<void>;
    readonly destroyPools: () => Promise<void>;
}

const INSTANT_OPERATIONS: StopOperations = {
    leaveMembership: resolveImmediately,
    stopTarget: resolveImmediately,
    leaveClaims: resolveImmediately,
    drainClaims: resolveImmediately,
    destroyPools: resolveImmediately,
};

describe("the stop of a node", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    interface Harness {
        readonly clock: ReturnType<typeof createManualClock>;
        readonly node: NodeLifecycle;
        readonly gatewayPort: number;
        readonly gatePort: number;
        readonly isStopped: () => boolean;
        readonly stop: () => void;
        /** Stops everything immediately, as a second signal does. */
        readonly abort: () => void;
        /** Responses to requests at the gateway that have not been sent yet. */
        readonly open: ServerResponse[];
    }

    /** Starts a node whose gateway responds only `finalResponseDelayMs` after its requests were aborted. */
    const startNode = async (
        operations: Partial<StopOperations>,
        isRecovered = true,
        finalResponseDelayMs = 0,
    ): Promise<Harness> => {
        const clock = createManualClock();
        const abortController = new AbortController();
        const [gatewayPort = 0, gatePort = 0, controlPort = 0, adminPort = 0] = await reservePorts(4);
        const {
            leaveMembership, stopTarget, leaveClaims, drainClaims, destroyPools,
        } = { ...INSTANT_OPERATIONS, ...operations };
        const openResponses: ServerResponse[] = [];
        const readiness = createReadinessState();
        const discardingLogger = {
            debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
        };
        const holdResponse = (_request: unknown, response: ServerResponse): void => {
            openResponses.push(response);
        };
        const node = createNodeLifecycle({
            options: {
                listen: { address: LOOPBACK, gatewayPort, gatePort, controlPort, adminPort },
                requests: { maxConnections: 100 },
                stop: STOP,
            },
            clock,
            backgroundClock: clock,
            logger: discardingLogger,
            readiness,
            controlPlane: {
                membership: { start: resolveImmediately, leave: leaveMembership },
                directory: { start: () => undefined },
                containment: { start: () => undefined },
                rollouts: { start: () => undefined },
                spread: {
                    start: () => undefined,
                    recover: isRecovered ? async () => ({ kind: "Recovered", source: "zone" }) : neverResolve,
                },
                peers: { close: () => undefined },
            },
            requestPath: {
                target: { stop: stopTarget, refreshLimit: () => undefined },
                claims: { start: resolveImmediately, leave: leaveClaims, drain: drainClaims },
                claimSweeper: { start: resolveImmediately },
                pools: { sweep: () => undefined, destroy: destroyPools },
                hasSubstitute: () => true,
                openRequests: {
                    gate: createOpenRequests(clock),
                    gateway: {
                        ...createOpenRequests(clock),
                        abortAll: () => void clock.sleep(finalResponseDelayMs, abortController.signal).then(() =>
                            openResponses.splice(0).forEach((response) => response.writeHead(503).end())),
                    },
                },
            },
            handlers: { gateway: holdResponse, gate: holdResponse, control: holdResponse, admin: holdResponse },
            additionalListeners: [],
            onRecovered: () => undefined,
            signal: abortController.signal,
        } as unknown as LifecycleDependencies);
        cleanup.add(() => abortController.abort());
        expect(either.isRight(await node.start()())).to.equal(true);
        await waitUntil(() => readiness.recovered === isRecovered);
        let isStopped = false;
        const stop = (): void => void node.stop().then(() => {
            isStopped = true;
        });
        return {
            clock,
            node,
            gatewayPort,
            gatePort,
            isStopped: () => isStopped,
            stop,
            abort: () => abortController.abort(),
            open: openResponses,
        };
    };

    /** Sends a request. Resolves when it is in flight, with a function that waits for its response. */
    const startCall = async (
        { gatewayPort, open }: Harness,
        port = gatewayPort,
    ): Promise<() => Promise<ReceivedResponse>> => {
        const previousCount = open.length;
        const clientResponse = sendHttpRequest({ port });
        clientResponse.catch(() => undefined);
        await waitUntil(() => open.length > previousCount);
        return () => clientResponse;
    };

    const HANGING_OPERATIONS: Readonly<Record<string, Partial<StopOperations>>> = {
        "handing over keys waits for a store that does not respond": { leaveClaims: neverResolve },
        "recording outcomes waits for a store that does not respond": { drainClaims: neverResolve },
        "the announcement to other nodes hangs": { leaveMembership: neverResolve },
        "requests are still running at the target": { stopTarget: neverResolve },
        "connections do not close": { destroyPools: neverResolve },
    };
    for (const [reason, operations] of Object.entries(HANGING_OPERATIONS)) {
        it(`completes in time, before the platform kills the process, although ${reason}`, async () => {
            const harness = await startNode(operations);
            harness.stop();
            await harness.clock.advance(DRAIN_MS + MAX_STOP_OVERRUN_MS);
            expect(harness.isStopped()).to.equal(true);
        });
    }

    it("completes early on a node that is still recovering and has served no request", async () => {
        const harness = await startNode({}, false);
        harness.stop();
        await harness.clock.advance(STOP.lingerMs);
        // Only the event loop goes on; the clock stands still.
        await waitUntil(harness.isStopped);
    });

    it("completes immediately after a second signal, regardless of pending operations", async () => {
        const harness = await startNode({ leaveClaims: neverResolve, leaveMembership: neverResolve });
        harness.stop();
        await harness.clock.advance(3000);
        harness.abort();
        await harness.clock.advance(0);
        expect(harness.isStopped()).to.equal(true);
    });

    it("sends every caller a response if an earlier step hangs", async () => {
        const harness = await startNode({ leaveMembership: neverResolve });
        const clientResponse = await startCall(harness);
        harness.stop();
        await harness.clock.advance(DRAIN_MS);
        expect((await clientResponse()).statusCode).to.equal(503);
        await harness.clock.advance(MAX_STOP_OVERRUN_MS);
        expect(harness.isStopped()).to.equal(true);
    });

    it("lets running requests finish although announcing the stop to other nodes fails", async () => {
        const harness = await startNode({
            leaveMembership: () => Promise.reject(new Error("no socket")),
            leaveClaims: () => Promise.reject(new Error("no store")),
        });
        const clientResponse = await startCall(harness);
        harness.stop();
        await harness.clock.advance(STOP.serveLongestMs);
        harness.open.splice(0).forEach((response) => response.writeHead(200).end());
        expect((await clientResponse()).statusCode).to.equal(200);
        await harness.clock.advance(MAX_STOP_OVERRUN_MS);
        expect(harness.isStopped()).to.equal(true);
    });

    it("leaves requests of other nodes the rest of its time after the drain timeout", async () => {
        const harness = await startNode({ stopTarget: neverResolve }, true, DRAIN_MS);
        const clientResponse = await startCall(harness, harness.gatePort);
        harness.stop();
        await harness.clock.advance(DRAIN_MS + 390);
        expect(harness.isStopped()).to.equal(false);
        harness.open.splice(0).forEach((response) => response.writeHead(200).end());
        expect((await clientResponse()).statusCode).to.equal(200);
        await harness.clock.advance(MAX_STOP_OVERRUN_MS - 390);
        expect(harness.isStopped()).to.equal(true);
    });

    it("sends every caller a response if the process is late with its final responses", async () => {
        const harness = await startNode({ stopTarget: neverResolve }, true, 350);
        const clientResponse = await startCall(harness);
        harness.stop();
        await harness.clock.advance(DRAIN_MS + 350);
        expect((await clientResponse()).statusCode).to.equal(503);
        await harness.clock.advance(MAX_STOP_OVERRUN_MS - 350);
        expect(harness.isStopped()).to.equal(true);
    });
});
