#!/usr/bin/env node
/**
 * Runs the platform stand-in as a separate process:
 * `platformMain.js --address ADDRESS --port PORT [--entrance NAME=ADDRESS:PORT]... [--writes N] [--reads N]`.
 */
import { parseArgs } from "node:util";
import type { Entrance } from "./platform/options.js";
import { startPlatformStandIn } from "./platform/platformStandIn.js";
import { printReadyLine, runUntilStopped } from "./process/runUntilStopped.js";

const { values } = parseArgs({
    options: {
        address: { type: "string", default: "127.0.0.1" },
        port: { type: "string", default: "17100" },
        entrance: { type: "string", multiple: true, default: [] },
        writes: { type: "string", default: "500" },
        reads: { type: "string", default: "2000" },
    },
});

const ENTRANCE_PATTERN = /^([^=]+)=(.+):(\d+)$/;

const parseEntrance = (text: string): Entrance => {
    const [, name, address, port] = ENTRANCE_PATTERN.exec(text) ?? [];
    if (name === undefined || address === undefined || port === undefined) {
        throw new Error(`--entrance ${text}: expected NAME=ADDRESS:PORT`);
    }
    return { name, address, port: Number(port) };
};

await runUntilStopped(async () => {
    const platform = await startPlatformStandIn({
        address: values.address,
        port: Number(values.port),
        entrances: values.entrance.map(parseEntrance),
        limits: { writesPerSecond: Number(values.writes), readsPerSecond: Number(values.reads) },
    });
    printReadyLine({ port: platform.port });
    return platform;
});
