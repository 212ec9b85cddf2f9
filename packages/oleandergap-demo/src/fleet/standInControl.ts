/** Clients of the control interfaces of a fleet's stand-ins. */
import { request } from "undici";
import type {
    PlatformStandInCounters,
    PlatformFaultsInput,
    RunsReport,
    TargetFaults,
    TargetReport,
} from "oleandergap-standins";

/** Client of the platform stand-in's control interface. Calls reject if it does not respond. */
export interface PlatformControl {
    readonly setFaults: (faults: PlatformFaultsInput) => Promise<void>;
    readonly counters: () => Promise<PlatformStandInCounters>;
    readonly resetCounters: () => Promise<void>;
    /** Stores a copy of the current content of the platform. */
    readonly takeCopy: () => Promise<void>;
    /** Restores the last copy and starts a new era. */
    readonly restore: () => Promise<void>;
}

/** Client of the target stand-ins' control interface. Calls reject for an unknown id. */
export interface TargetsControl {
    /** Returns the runs per key of all targets since their start. */
    readonly runs: () => Promise<RunsReport>;
    readonly targets: () => Promise<readonly TargetReport[]>;
    readonly setFaults: (id: string, faults: Partial<TargetFaults>) => Promise<void>;
    readonly leave: (id: string) => Promise<void>;
    readonly stop: (id: string) => Promise<void>;
    readonly crash: (id: string) => Promise<void>;
    /** Stops a target like a crash. The target restarts automatically. */
    readonly restart: (id: string) => Promise<void>;
    readonly silence: (id: string) => Promise<void>;
}

const FIRST_ERROR_STATUS = 400;

const sendControlRequest = async (
    method: "GET" | "PUT" | "POST" | "DELETE",
    url: string,
    body?: unknown,
): Promise<unknown> => {
    const response = await request(url, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) });
    const value = await response.body.json();
    if (response.statusCode >= FIRST_ERROR_STATUS) {
        throw new Error(`${method} ${url}: ${response.statusCode} ${JSON.stringify(value)}`);
    }
    return value;
};

/** Creates a client for an origin such as `http://127.20.0.1:17100`. */
export const createPlatformControl = (origin: string): PlatformControl => ({
    setFaults: async (faults) => {
        await sendControlRequest("PUT", `${origin}/control/faults`, faults);
    },
    counters: async () => await sendControlRequest("GET", `${origin}/control/counters`) as PlatformStandInCounters,
    resetCounters: async () => {
        await sendControlRequest("DELETE", `${origin}/control/counters`);
    },
    takeCopy: async () => {
        await sendControlRequest("POST", `${origin}/control/copy`);
    },
    restore: async () => {
        await sendControlRequest("POST", `${origin}/control/restore`);
    },
});

/** Creates a client for an origin such as `http://127.20.0.1:41000`. */
export const createTargetsControl = (origin: string): TargetsControl => {
    const runAction = async (id: string, action: string): Promise<void> => {
        await sendControlRequest("POST", `${origin}/control/targets/${id}/${action}`);
    };
    return {
        runs: async () => await sendControlRequest("GET", `${origin}/control/runs`) as RunsReport,
        targets: async () => await sendControlRequest("GET", `${origin}/control/targets`) as readonly TargetReport[],
        setFaults: async (id, faults) => {
            await sendControlRequest("PUT", `${origin}/control/targets/${id}/faults`, faults);
        },
        leave: (id) => runAction(id, "leave"),
        stop: (id) => runAction(id, "stop"),
        crash: (id) => runAction(id, "crash"),
        restart: (id) => runAction(id, "restart"),
        silence: (id) => runAction(id, "silence"),
    };
};
