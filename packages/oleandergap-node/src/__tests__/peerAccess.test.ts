import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { createEmptyDocument } from "oleandergap-configuration";
import { createLogger } from "oleandergap-logger";
import {
    createPeerClient,
    createPeerRequestHandler,
    defaultDistributionOptions,
    PEER_PATH,
    type PeerAddress,
    type PeerClient,
} from "oleandergap-distribution";
import { parseFleetKeys, type FleetKeys, type ReadFleetKeys } from "oleandergap-membership";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createControlHandler } from "../control/controlHandler.js";
import { createFleetClient, type FleetClient } from "../control/fleetClient.js";
import { createFleetHandler, FLEET_PATH } from "../control/fleetHandler.js";
import { watchFleetKeys } from "../control/fleetKeyFile.js";
import { createPeerAccess, type PeerAccess } from "../control/peerAccess.js";
import { sendHttpRequest, createCleanup, LOOPBACK, startTestListener } from "./support.js";

const OLD_KEY = "old-key-of-the-fleet-0123456789abcdef";
const NEW_KEY = "new-key-of-the-fleet-0123456789abcdef";
const clock = createSystemClock();
const logger = createLogger("test");
const neverAborted = new AbortController().signal;

/** A control port that serves the fleet route, the peer route and an operator route. */
interface ControlPort {
    readonly node: PeerAddress;
    readonly access: PeerAccess;
    /** Services whose targets were drained. */
    readonly drained: readonly string[];
}

interface Callers {
    readonly peers: PeerClient;
    readonly fleet: FleetClient;
}

const service = { partner: "halloway", service: "grant-filer" };

const createKeys = (...lines: readonly string[]): FleetKeys => {
    const keys = parseFleetKeys(lines.join("\n"));
    if (either.isLeft(keys)) {
        throw new Error(keys.left.problem);
    }
    return keys.right;
};

const createKeyReader = (...lines: readonly string[]): ReadFleetKeys => {
    const keys = createKeys(...lines);
    return () => keys;
};

describe("the fleet's key", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    const startControlPort = async (readKeys: ReadFleetKeys): Promise<ControlPort> => {
        const drained: string[] = [];
        let handle: ReturnType<typeof createControlHandler> = () => undefined;
        const { port } = await startTestListener(cleanup.add, clock, (request, response) => handle(request, response));
        const access = createPeerAccess({ listen: { address: LOOPBACK, controlPort: port }, readKeys });
        handle = createControlHandler([
            {
                prefix: FLEET_PATH,
                callers: "Nodes",
                handle: createFleetHandler({
                    nodeId: "hall-a-1",
                    reportZone: () => Promise.resolve({ nodes: [] }),
                    drainTarget: (query) => Promise.resolve(drained.push(query.service.service) > 0),
                    signal: neverAborted,
                }, logger),
            },
            {
                prefix: PEER_PATH,
                callers: "Nodes",
                handle: createPeerRequestHandler({
                    dependencies: {
                        store: {
                            heads: () => [],
                            document: createEmptyDocument,
                            deltasSince: () => undefined,
                        },
                        fleet: { self: () => node, members: () => [], contacts: () => [] },
                        directory: { answerZoneTargets: () => ({ services: [] }) },
                        random: Math.random,
                        isReady: () => true,
                        platformAge: () => 0,
                    },
                    logger,
                    options: defaultDistributionOptions.peer,
                }),
            },
            { prefix: "/operator", callers: "Operators", handle: (_request, response) => response.end("operators") },
        ], access.isNode);
        const node = { id: "hall-a-1", zone: "hall-a", address: LOOPBACK, controlPort: port };
        return { node, drained, access };
    };

    const createCallers = (readKeys: ReadFleetKeys | undefined): Callers => {
        const { authorize } = createPeerAccess({ listen: { address: LOOPBACK, controlPort: 1 }, readKeys });
        const peers = createPeerClient({ clock, options: defaultDistributionOptions.peer, authorize });
        cleanup.add(() => peers.close());
        return { peers, fleet: createFleetClient({ clock, timeoutMs: 5000, authorize }) };
    };

    it("refuses drain and peer calls without a valid key, and admits nodes and operators", async () => {
        // Guards against a target that is drained although no operator requested it: without authentication of the
        // caller, anyone could call the fleet's drain at the control port with no key or with another one.
        const { node, drained, access } = await startControlPort(createKeyReader(NEW_KEY));
        for (const readKeys of [undefined, createKeyReader(OLD_KEY)]) {
            const unauthenticatedCallers = createCallers(readKeys);
            const drain = await unauthenticatedCallers.fleet.drain(node, { service }, neverAborted)();
            const heads = await unauthenticatedCallers.peers.heads(node, neverAborted)();

            expect(either.isLeft(drain) && drain.left.detail).to.equal("not a node of this fleet");
            expect(either.isLeft(heads) && heads.left).to.include({ kind: "Refused", status: 401 });
        }
        expect(drained).to.deep.equal([]);
        expect(access.stats().refusedRequests).to.equal(4);

        const authenticatedCallers = createCallers(createKeyReader(NEW_KEY));
        expect(either.isRight(await authenticatedCallers.fleet.drain(node, { service }, neverAborted)()))
            .to.equal(true);
        expect(either.isRight(await authenticatedCallers.peers.heads(node, neverAborted)())).to.equal(true);
        expect(drained).to.deep.equal(["grant-filer"]);
        const operator = await sendHttpRequest({ port: node.controlPort, path: "/operator/x" });
        expect(operator.body.toString()).to.equal("operators");
    });

    it("can be replaced while nodes are running: both keys are accepted during the rotation", async () => {
        const { node } = await startControlPort(createKeyReader(NEW_KEY, OLD_KEY));
        for (const key of [OLD_KEY, NEW_KEY]) {
            const peerResponse = await createCallers(createKeyReader(key)).peers.heads(node, neverAborted)();
            expect(either.isRight(peerResponse), key).to.equal(true);
        }
    });

    it("is reloaded while the node is running, and stays in use if the new file is invalid", async () => {
        // Guards against a node that loses its key after an error during a rotation, such as a wrong file mode. An
        // invalid file must neither discard the current key nor stop the reloading.
        const initial = createKeys(OLD_KEY);
        let fileResult: Either<string, FleetKeys> = either.right(initial);
        const manualClock = createManualClock();
        const endController = new AbortController();
        cleanup.add(() => endController.abort());
        const readKeys = watchFleetKeys({
            source: { initial, load: () => Promise.resolve(fileResult) },
            reloadMs: 1000,
            clock: manualClock,
            logger,
            signal: endController.signal,
        });

        fileResult = either.left("Others can read the file.");
        await manualClock.advance(2000);
        expect(readKeys()).to.equal(initial);

        const next = createKeys(NEW_KEY, OLD_KEY);
        fileResult = either.right(next);
        await manualClock.advance(2000);
        expect(readKeys()).to.equal(next);
    });
});
