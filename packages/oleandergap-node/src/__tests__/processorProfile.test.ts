import { expect } from "chai";
import type { Logger, LogContext } from "oleandergap-logger";
import { createManualClock } from "oleandergap-utils";
import { nodeOptionsSchema } from "../options.js";
import { PROFILE_MESSAGE, startProcessorProfile, type ProcessUsage } from "../profile/processorProfile.js";
import { listCostlyFunctions, sumProfile, type SampledProfile } from "../profile/sampledProfile.js";
import type { Sampler } from "../profile/sampler.js";

const PERIOD_MS = 5000;

/** The runtime calls the prober, which calls a library. In addition, the engine collects garbage and is idle. */
const profile: SampledProfile = {
    nodes: [
        { id: 1, position: { file: "", functionName: "(root)" }, children: [2, 5, 6] },
        { id: 2, position: { file: "node:internal/timers", functionName: "processTimers" }, children: [3] },
        { id: 3, position: { file: "../packages/oleandergap-membership/src/prober.ts", functionName: "poll" }, children: [4] },
        { id: 4, position: { file: "/x/node_modules/zod/v4/core.js", functionName: "parse" }, children: [] },
        { id: 5, position: { file: "", functionName: "(garbage collector)" }, children: [] },
        { id: 6, position: { file: "", functionName: "(idle)" }, children: [] },
    ],
    samples: [2, 3, 4, 5, 6],
    // The first interval ends at the first sample.
    intervals: [9, 1, 2, 3, 4],
};

const createRecordingLogger = (): { readonly lines: LogContext[]; readonly logger: Logger } => {
    const lines: LogContext[] = [];
    const write = (message: string, context: LogContext = {}): void => {
        lines.push({ message, ...context });
    };
    return { lines, logger: { debug: write, info: write, warn: write, error: write } };
};

const createFakeSampler = (): Sampler & { readonly calls: string[] } => {
    const calls: string[] = [];
    return {
        calls,
        start: () => calls.push("start"),
        stop: () => {
            calls.push("stop");
            return profile;
        },
    };
};

describe("CPU profile by part", () => {
    it("counts the time of a library for the part that calls it, and excludes idle time", () => {
        const times = sumProfile(profile);
        expect([...times]).to.have.deep.members([
            ["runtime", 1],
            ["membership", 2 + 3],
            ["garbage collection", 4],
        ]);
    });

    it("counts the folders of the daemon separately", () => {
        const times = sumProfile({
            nodes: [
                { id: 1, position: { file: "/r/packages/oleandergap-node/lib/gate/gateHandler.js", functionName: "a" }, children: [2] },
                { id: 2, position: { file: "../packages/oleandergap-node/src/http/exchange.ts", functionName: "b" }, children: [] },
                { id: 3, position: { file: "../platform/src/operatorSource.ts", functionName: "c" }, children: [] },
            ],
            samples: [1, 2, 3],
            intervals: [0, 1, 2, 4],
        });
        expect([...times]).to.have.deep.members([["node/gate", 1], ["node/http", 2], ["adapter", 4]]);
    });

    it("lists the functions with the most self time", () => {
        expect(listCostlyFunctions(profile, 1)).to.deep.equal([["(garbage collector)", 4]]);
    });

    it("writes one line per period and excludes the cost of the line itself", async () => {
        const clock = createManualClock();
        const { lines, logger } = createRecordingLogger();
        const sampler = createFakeSampler();
        let processorMs = 300;
        const readUsage = (): ProcessUsage => {
            processorMs += 10;
            return { processorMs, wakeUps: 0, reads: 0, writes: 0 };
        };
        const abortController = new AbortController();
        startProcessorProfile({ clock, logger, sampler, readUsage, periodMs: PERIOD_MS }, abortController.signal);
        await clock.advance(2 * PERIOD_MS);
        expect(lines.map(({ message }) => message)).to.deep.equal([PROFILE_MESSAGE, PROFILE_MESSAGE]);
        // The first line includes the start of the process.
        expect(lines.map((line) => line["processorMs"])).to.deep.equal([310, 10]);
        abortController.abort();
        await clock.advance(2 * PERIOD_MS);
        expect(lines).to.have.length(3);
        expect(sampler.calls.at(-1)).to.equal("stop");
    });

    it("is off by default, and rejects an invalid period with its path and the allowed range", () => {
        const diagnostics = nodeOptionsSchema.shape.diagnostics;
        expect(diagnostics.parse(undefined)).to.deep.equal({});
        const refused = diagnostics.safeParse({ processorProfileMs: 10 });
        expect(refused.success).to.equal(false);
        expect(refused.error?.issues[0]?.path).to.deep.equal(["processorProfileMs"]);
        expect(refused.error?.issues[0]?.message).to.contain("1000");
    });
});
