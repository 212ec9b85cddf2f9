import { spawn, type ChildProcessWithoutNullStreams } from "node:child_process";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { startHarness, type Harness, type CommandResult } from "./harness.js";

const programPath = fileURLToPath(new URL("../../bin/oleandergap.js", import.meta.url));

interface RunningCommand {
    readonly process: ChildProcessWithoutNullStreams;
    readonly ended: Promise<CommandResult>;
}

const startCommand = (settings: string, commandArguments: readonly string[]): RunningCommand => {
    const childProcess = spawn(
        process.execPath,
        [programPath, ...commandArguments],
        { env: { OLEANDERGAP_SETTINGS: settings } },
    );
    let out = "";
    let error = "";
    childProcess.stdout.on("data", (chunk) => {
        out += String(chunk);
    });
    childProcess.stderr.on("data", (chunk) => {
        error += String(chunk);
    });
    const ended = new Promise<CommandResult>((resolve) => {
        childProcess.once("close", (code) => resolve({ exitCode: code ?? -1, out, error }));
    });
    return { process: childProcess, ended };
};

describe("oleandergap", () => {
    let harness: Harness;

    beforeEach(async () => {
        harness = await startHarness();
    });

    afterEach(() => harness.close());

    it("runs as a separate process and exits without delay", async () => {
        const { exitCode, out, error } = await startCommand(harness.settings, ["members", "--json"]).ended;
        expect(exitCode, error).to.equal(0);
        expect(JSON.parse(out)).to.have.property("ok", true);
    });

    it("shows how to get the outcome when it is interrupted during a change", async () => {
        // Guards against an unreported change: the operator interrupts the command while the node handles the change,
        // assumes that it was not made, and it is in force shortly afterwards.
        const interrupted = startCommand(harness.settings, ["set", "zones/hall-a/enabled=1"]);
        harness.beforeResponse = () => {
            interrupted.process.kill("SIGINT");
            return new Promise(() => undefined);
        };
        const { exitCode, error } = await interrupted.ended;
        expect(exitCode).to.equal(7);
        const cell = "zones/hall-a/enabled";
        expect(error).to.include(`oleandergap set ${cell}=1 --expect ${cell}= --change-id `);
        expect((await harness.run("get", "--accepted", "--cells")).out).to.include(`${cell}=1`);
    });
});
