/** The HTTP servers of a node: the four built-in ones and additional ones from the adapters. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { ListenerDefinition } from "./adapters.js";
import { readGatePriority } from "./gate/gateRequestHead.js";
import { createArrivalTally } from "./http/arrivalTally.js";
import { startListener, type HandleArrival, type HandleRequest, type Listener, type ListenError } from "./http/listener.js";
import { createRefusedConnectionLog } from "./http/refusedConnectionLog.js";
import { createTurnQueue, type TurnLane } from "./http/turnQueue.js";
import type { NodeOptions } from "./options.js";

/**
 * Maximum number of connections of callers and nodes that wait to be accepted. A process that is behind accepts some
 * two hundred a second, so that the senders at the end of a longer queue would have disconnected before their requests
 * are read.
 */
export const ACCEPT_QUEUE_LENGTH = 64;

export interface NodeHandlers {
    readonly gateway: HandleArrival;
    readonly gate: HandleArrival;
    readonly control: HandleRequest;
    readonly admin: HandleRequest;
}

export interface NodeListeners {
    readonly gateway: Listener;
    readonly gate: Listener;
    readonly control: Listener;
    readonly admin: Listener;
    readonly additional: readonly Listener[];
}

export interface NodeListenersDependencies {
    readonly options: Pick<NodeOptions, "listen" | "requests">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly handlers: NodeHandlers;
    readonly additionalListeners: readonly ListenerDefinition[];
}

export const destroyListeners = (listeners: NodeListeners): void => {
    listeners.gateway.destroy();
    listeners.gate.destroy();
    listeners.control.destroy();
    listeners.admin.destroy();
    listeners.additional.forEach((listener) => listener.destroy());
};

/** Starts all listeners or none: if one fails, those that were already started are closed. */
export const startNodeListeners = (
    { options, clock, logger, handlers, additionalListeners }: NodeListenersDependencies,
): TaskEither<ListenError, NodeListeners> => async () => {
    const { listen, requests } = options;
    const requestTurns = createTurnQueue({ clock });
    const started: Listener[] = [];

    const startDefined = async (
        definition: ListenerDefinition,
        turns?: TurnLane,
    ): Promise<either.Either<ListenError, Listener>> => {
        const listener = await startListener({
            ...definition,
            maxConnections: requests.maxConnections,
            clock,
            acceptQueueLength: turns && ACCEPT_QUEUE_LENGTH,
            turns,
            readPriority: turns === requestTurns.nodes ? readGatePriority : undefined,
            tally: turns && createArrivalTally({ clock, logger, listener: definition.name }),
            onRefusedConnection: createRefusedConnectionLog({
                clock, logger, listener: definition.name, maxConnections: requests.maxConnections,
            }),
        })();
        if (either.isRight(listener)) {
            started.push(listener.right);
        }
        return listener;
    };

    const start = (
        name: keyof NodeHandlers,
        port: number,
        turns?: TurnLane,
    ): Promise<either.Either<ListenError, Listener>> =>
        startDefined({ name, address: listen.address, port, handle: handlers[name] }, turns);

    const closeStarted = (error: ListenError): either.Either<ListenError, never> => {
        started.forEach((listener) => listener.destroy());
        return either.left(error);
    };

    const admin = await start("admin", listen.adminPort);
    if (either.isLeft(admin)) {
        return closeStarted(admin.left);
    }
    const control = await start("control", listen.controlPort);
    if (either.isLeft(control)) {
        return closeStarted(control.left);
    }
    const gate = await start("gate", listen.gatePort, requestTurns.nodes);
    if (either.isLeft(gate)) {
        return closeStarted(gate.left);
    }
    const gateway = await start("gateway", listen.gatewayPort, requestTurns.callers);
    if (either.isLeft(gateway)) {
        return closeStarted(gateway.left);
    }
    const additional: Listener[] = [];
    for (const definition of additionalListeners) {
        const listener = await startDefined(definition);
        if (either.isLeft(listener)) {
            return closeStarted(listener.left);
        }
        additional.push(listener.right);
    }
    return either.right({
        additional,
        gateway: gateway.right,
        gate: gate.right,
        control: control.right,
        admin: admin.right,
    });
};
