/** Reads and switches the stand-ins of a fleet over their control interfaces. */
import { request } from "undici";
import type {
    PlatformStandInCounters,
    PlatformFaultsInput,
    RunsReport,
    TargetFaults,
    TargetReport,
} from "oleandergap-standins";

/** The platform stand-in's switches and counters. Calls reject when it doesn't answer. */
export interface PlatformControl {
    readonly setFaults: (faults: PlatformFaultsInput) => Promise<void>;
    readonly counters: () => Promise<PlatformStandInCounters>;
    readonly resetCounters: () => Promise<void>;
    /** Keeps what the platform holds now. */
    readonly keepCopy: () => Promise<void>;
    /** Goes back to what was kept last, in a new era. */
    readonly restore: () => Promise<void>;
}

/** The target stand-ins' switches and logs. Calls reject for an unknown id. */
export interface TargetsControl {
    /** Runs per key over all targets, since the start. */
    readonly runs: () => Promise<RunsReport>;
    readonly targets: () => Promise<readonly TargetReport[]>;
    readonly setFaults: (id: string, faults: Partial<TargetFaults>) => Promise<void>;
    readonly leave: (id: string) => Promise<void>;
    readonly stop: (id: string) => Promise<void>;
    readonly crash: (id: string) => Promise<void>;
    /** Ends a target as a crash does; it starts again by itself. */
    readonly restart: (id: string) => Promise<void>;
    readonly silence: (id: string) => Promise<void>;
}

const FIRST_ERROR_STATUS = 400;

const call = async (method: "GET" | "PUT" | "POST" | "DELETE", url: string, body?: unknown): Promise<unknown> => {
    const answer = await request(url, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) });
    const value = await answer.body.json();
    if (answer.statusCode >= FIRST_ERROR_STATUS) {
        throw new Error(`${method} ${url}: ${answer.statusCode} ${JSON.stringify(value)}`);
    }
    return value;
};

/** `origin` as in `http://127.20.0.1:17100`. */
export const createPlatformControl = (origin: string): PlatformControl => ({
    setFaults: async (faults) => {
        await call("PUT", `${origin}/control/faults`, faults);
    },
    counters: async () => await call("GET", `${origin}/control/counters`) as PlatformStandInCounters,
    resetCounters: async () => {
        await call("DELETE", `${origin}/control/counters`);
    },
    keepCopy: async () => {
        await call("POST", `${origin}/control/copy`);
    },
    restore: async () => {
        await call("POST", `${origin}/control/restore`);
    },
});

/** `origin` as in `http://127.20.0.1:41000`. */
export const createTargetsControl = (origin: string): TargetsControl => {
    const act = async (id: string, action: string): Promise<void> => {
        await call("POST", `${origin}/control/targets/${id}/${action}`);
    };
    return {
        runs: async () => await call("GET", `${origin}/control/runs`) as RunsReport,
        targets: async () => await call("GET", `${origin}/control/targets`) as readonly TargetReport[],
        setFaults: async (id, faults) => {
            await call("PUT", `${origin}/control/targets/${id}/faults`, faults);
        },
        leave: (id) => act(id, "leave"),
        stop: (id) => act(id, "stop"),
        crash: (id) => act(id, "crash"),
        restart: (id) => act(id, "restart"),
        silence: (id) => act(id, "silence"),
    };
};
