import { existsSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { createProcessGroup, type ProcessGroup } from "../process/processGroup.js";
import { readProcessUsage } from "../process/processUsage.js";
import type { Child } from "../process/childProcess.js";

const STUBBORN_SCRIPT = "process.on(\"SIGTERM\", () => {}); setInterval(() => {}, 1000); console.log(\"ready\");";
const FAILING_SCRIPT = "console.error(\"no settings\"); process.exit(3);";

describe("createProcessGroup", () => {
    let folder: string;
    let group: ProcessGroup;
    let reports: string[];

    const startScript = async (name: string, text: string): Promise<Child> => {
        const script = join(folder, `${name}.mjs`);
        await writeFile(script, text);
        const logFile = join(folder, `${name}.log`);
        return group.start({ name, script, arguments: [], logFile, awaitReadyLine: true });
    };

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "oleandergap-processes-"));
        reports = [];
        group = createProcessGroup((report) => reports.push(report));
    });

    afterEach(async () => {
        await group.close();
        await rm(folder, { recursive: true });
    });

    it("reports why a process did not start", async () => {
        const reason = await startScript("broken", FAILING_SCRIPT)
            .then(() => "started", (error: Error) => error.message);
        expect(reason).to.equal("broken ended with code 3; end of its log:\n  no settings");
    });

    it("leaves no process running, not even a frozen one that ignores SIGTERM", async () => {
        // Guards against processes of an earlier run that still occupy the ports. SIGTERM does not end a process that
        // is frozen or ignores the signal.
        const child = await startScript("stubborn", STUBBORN_SCRIPT);
        child.freeze();
        expect((await readProcessUsage(child.name, child.pid))?.residentBytes).to.be.above(0);
        await group.close();

        expect(existsSync(`/proc/${child.pid}`)).to.equal(false);
        expect(await startScript("late", STUBBORN_SCRIPT).then(() => "started", () => "refused")).to.equal("refused");
    });

    it("reports only processes that exit without a stop request", async () => {
        const stoppedChild = await startScript("asked", STUBBORN_SCRIPT);
        const crashingChild =
            await startScript("crashing", "console.log(\"ready\"); setTimeout(() => process.exit(4), 10);");
        await stoppedChild.stop(0);
        await crashingChild.exited;
        while (reports.length === 0) {
            await new Promise((resolve) => setImmediate(resolve));
        }

        expect(reports).to.have.length(1);
        expect(reports[0]).to.match(/^crashing ended with code 4/);
    });
});
