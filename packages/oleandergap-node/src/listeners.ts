/** The HTTP servers of a node: its own four, and those that its surroundings add. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock } from "oleandergap-types";
import type { ListenerPlan } from "./adapters.js";
import { startListener, type HandleArrival, type HandleRequest, type Listener, type ListenError } from "./http/listener.js";
import { createTurnQueue, type TurnQueue } from "./http/turnQueue.js";
import type { NodeOptions } from "./options.js";

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
    readonly further: readonly Listener[];
}

export interface NodeListenersDependencies {
    readonly options: Pick<NodeOptions, "listen" | "requests">;
    readonly clock: Clock;
    readonly handlers: NodeHandlers;
    readonly furtherListeners: readonly ListenerPlan[];
}

export const destroyListeners = (listeners: NodeListeners): void => {
    listeners.gateway.destroy();
    listeners.gate.destroy();
    listeners.control.destroy();
    listeners.admin.destroy();
    listeners.further.forEach((listener) => listener.destroy());
};

/** All of them listen, or none: whatever was started is closed again when one fails. */
export const startNodeListeners = (
    { options, clock, handlers, furtherListeners }: NodeListenersDependencies,
): TaskEither<ListenError, NodeListeners> => async () => {
    const { listen, requests } = options;
    const requestTurns = createTurnQueue();
    const started: Listener[] = [];

    const startPlanned = async (
        plan: ListenerPlan,
        turns?: TurnQueue,
    ): Promise<either.Either<ListenError, Listener>> => {
        const listener = await startListener({ ...plan, maxConnections: requests.maxConnections, clock, turns })();
        if (either.isRight(listener)) {
            started.push(listener.right);
        }
        return listener;
    };

    const start = (
        name: keyof NodeHandlers,
        port: number,
        turns?: TurnQueue,
    ): Promise<either.Either<ListenError, Listener>> =>
        startPlanned({ name, address: listen.address, port, handle: handlers[name] }, turns);

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
    const gate = await start("gate", listen.gatePort, requestTurns);
    if (either.isLeft(gate)) {
        return closeStarted(gate.left);
    }
    const gateway = await start("gateway", listen.gatewayPort, requestTurns);
    if (either.isLeft(gateway)) {
        return closeStarted(gateway.left);
    }
    const further: Listener[] = [];
    for (const plan of furtherListeners) {
        const listener = await startPlanned(plan);
        if (either.isLeft(listener)) {
            return closeStarted(listener.left);
        }
        further.push(listener.right);
    }
    return either.right({
        further,
        gateway: gateway.right,
        gate: gate.right,
        control: control.right,
        admin: admin.right,
    });
};
