/**
 * Control interface of a process that runs target stand-ins. It listens on a separate port, so that a target that hangs
 * or is full can still be inspected and controlled:
 *
 * - `GET /control/runs`: returns the runs per key of all targets of the process;
 * - `GET /control/targets`: returns all targets with their counters;
 * - `PUT /control/targets/<id>/faults`: replaces the faults of the target;
 * - `POST /control/targets/<id>/{leave,stop,crash,restart,silence}`: runs the action of the same name on the target.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { describeInputError } from "../http/describeInputError.js";
import { closeAbruptly, listen, readJson, readPath, sendJson } from "../http/jsonHttp.js";
import type { TargetCounters } from "./handleRequest.js";
import { targetFaultsSchema } from "./options.js";
import { mergeRuns, type KeyRuns } from "./runLog.js";
import type { TargetStandIn } from "./targetStandIn.js";

/** A running control interface. */
export interface TargetControl {
    readonly port: number;
    readonly close: () => Promise<void>;
}

/** Response of `GET /control/runs`. */
export interface RunsReport {
    readonly total: number;
    readonly keys: readonly KeyRuns[];
}

/** Entry of the response of `GET /control/targets`. */
export interface TargetReport {
    readonly id: string;
    readonly partner: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly counters: Readonly<TargetCounters>;
}

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const TARGET_PATH = /^\/control\/targets\/([^/]+)\/(faults|leave|stop|crash|restart|silence)$/;

const reportRuns = (targets: readonly TargetStandIn[]): RunsReport => ({
    total: targets.reduce((sum, target) => sum + target.runLog.total(), 0),
    keys: mergeRuns(targets.map((target) => target.runLog.entries())),
});

const reportTarget = (target: TargetStandIn): TargetReport => ({
    id: target.options.id,
    partner: target.options.partner,
    service: target.options.service,
    address: target.address,
    port: target.port,
    counters: target.counters(),
});

const runAction = async (target: TargetStandIn, action: string, request: IncomingMessage): Promise<unknown> => {
    switch (action) {
        case "faults": {
            const faults = targetFaultsSchema.parse(await readJson(request));
            target.setFaults(faults);
            return faults;
        }
        case "leave":
            await target.leave();
            return { left: true };
        case "stop":
            await target.stop();
            return { stopped: true };
        case "crash":
            await target.crash();
            return { crashed: true };
        case "restart":
            target.restart();
            return { restarted: true };
        default:
            return { silenced: target.silenceConnections() };
    }
};

const routeRequest = async (
    targets: readonly TargetStandIn[],
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const path = readPath(request);
    if (path === "/control/runs") {
        sendJson(response, reportRuns(targets));
        return;
    }
    if (path === "/control/targets") {
        sendJson(response, targets.map(reportTarget));
        return;
    }
    const [, id, action] = TARGET_PATH.exec(path) ?? [];
    const target = targets.find((candidate) => candidate.options.id === id);
    if (target === undefined || action === undefined) {
        sendJson(response, { error: `nothing at ${path}` }, NOT_FOUND);
        return;
    }
    sendJson(response, await runAction(target, action, request));
};

/** Starts the control interface of `targets`. */
export const startTargetControl = async (
    targets: readonly TargetStandIn[],
    address: string,
    port: number,
): Promise<TargetControl> => {
    const server = createServer((request, response) => {
        routeRequest(targets, request, response).catch((error: unknown) => {
            sendJson(response, { error: describeInputError(error) }, BAD_REQUEST);
        });
    });
    const boundPort = await listen(server, address, port);
    return { port: boundPort, close: () => closeAbruptly(server) };
};
