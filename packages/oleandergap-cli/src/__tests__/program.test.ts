import { readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import fc from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import { loadSettings } from "oleandergap-validation";
import { hasUnsafeCharacters } from "../output/escapeText.js";
import { commandLineSettingsSchema } from "../settings/settings.js";
import { createMember, startHarness, type Harness, type CommandResult } from "./harness.js";

const LIMIT_ASSIGNMENTS = "limits/filing/concurrency=12 limits/filing/queue=4 " +
    "limits/filing/timeoutMs=900 limits/filing/retryRatio=0.1";
const TABLE_ASSIGNMENTS = `zones/hall-a/enabled=1 zones/hall-b/enabled=1 ${LIMIT_ASSIGNMENTS} ` +
    "grant-filer.limit=filing grant-filer.weights.hall-a=100 grant-filer.idempotency=required";

const readJson = ({ out }: CommandResult): unknown => JSON.parse(out);

describe("runCommandLine", () => {
    let harness: Harness;

    beforeEach(async () => {
        harness = await startHarness();
        const { exitCode, error } = await harness.run("set", ...TABLE_ASSIGNMENTS.split(" "));
        expect(exitCode, error).to.equal(0);
    });

    afterEach(async () => {
        const written = harness.writtenTexts.join("");
        const { credential } = harness;
        await harness.close();
        expect(written).not.to.include(credential);
        expect(written).not.to.include(credential.slice(-20));
    });

    it("sets several cells in one change and shows the table as a grid", async () => {
        const set = await harness.run("set", "grant-filer.weights.hall-a=50", "grant-filer.weights.hall-b=50");
        expect(set.exitCode).to.equal(0);
        expect(set.out).to.include("Accepted as version 2 of halloway")
            .and.include("grant-filer.weights.hall-a: 100 -> 50")
            .and.include("grant-filer.weights.hall-b: (empty) -> 50");
        const table = await harness.run("get", "--accepted");
        expect(table.out).to.match(/service +limit +idempotency +hall-a +hall-b\n/);
        expect(table.out).to.match(/grant-filer +filing +required +50 +50\n/);
        const row = await harness.run("get", "grant-filer", "--accepted", "--json");
        expect(readJson(row)).to.have.nested.property("result.cells").that.includes({ "limits/filing/queue": 4 });
    });

    it("shows both values of a conflict and exits with 3", async () => {
        const cell = "grant-filer.weights.hall-a";
        const result = await harness.run("set", `${cell}=60`, "--expect", `${cell}=10`);
        expect(result.exitCode).to.equal(3);
        expect(result.error).to.include("grant-filer.weights.hall-a: expected 10, found 100");
        expect(result.out).to.equal("");
        const other = "grant-filer.weights.hall-b";
        const empty = await harness.run("set", `${other}=1`, "--expect", `${other}=9`);
        expect(empty.error).to.include("expected 9, found (empty)");
    });

    it("reports a conflict when another operator changes the cell between the read and the change", async () => {
        // Guards against silently overwriting the value of another operator: both operators read 100, one sets 70, then
        // the other sets 60. The change must include the value that it is based on.
        harness.beforeAccept = async () => {
            harness.beforeAccept = () => Promise.resolve();
            expect((await harness.run("set", "grant-filer.weights.hall-a=70")).exitCode).to.equal(0);
        };
        const slowerChange = await harness.run("set", "grant-filer.weights.hall-a=60");
        expect(slowerChange.exitCode).to.equal(3);
        expect(slowerChange.error).to.include("grant-filer.weights.hall-a: expected 100, found 70");
    });

    it("shows how to repeat a change with an unknown outcome, and the repeat returns the first outcome", async () => {
        // Guards against undoing a later change of another operator: a change is accepted, its response is lost, and
        // the operator repeats the command as shown. The repeat must have the same change id and must not expect the
        // values that the first attempt wrote.
        harness.beforeResponse = async () => {
            harness.beforeResponse = () => Promise.resolve();
            throw new Error("the node crashes");
        };
        const lostResult = await harness.run("set", "grant-filer.weights.hall-a=50");
        expect(lostResult.exitCode).to.equal(7);
        const repeatCommand = /oleandergap (set .*)/.exec(lostResult.error)?.[1] ?? "";
        expect(repeatCommand).to.equal(
            "set grant-filer.weights.hall-a=50 --expect grant-filer.weights.hall-a=100 --change-id change-0002",
        );
        await harness.run("set", "grant-filer.weights.hall-a=80");
        const repeated = await harness.run(...repeatCommand.split(" "), "--json");
        expect(repeated.exitCode, repeated.out).to.equal(0);
        expect(readJson(repeated)).to.have.nested.property("result.sequence", 2);
        expect(readJson(repeated)).to.have.nested.property("result.repeated", true);
        expect((await harness.run("get", "grant-filer", "--accepted")).out).to.include("weights.hall-a=80");
    });

    it("applies a change file in one change and rejects a file that would make the table invalid", async () => {
        const validFile = await harness.writeFile("change.yaml", [
            "set: { grant-filer.weights.hall-b: 30, limits/filing/concurrency: 24 }",
            "unset: [grant-filer.weights.hall-a]",
            "expect: { limits/filing/concurrency: 12 }",
        ].join("\n"));
        expect((await harness.run("validate", "-f", validFile)).out).to.include("grant-filer.weights.hall-a: 100 -> (empty)");
        expect((await harness.run("apply", "-f", validFile)).exitCode).to.equal(0);
        const invalidFile = await harness.writeFile("bad.yaml", "set: { grant-filer.limit: nowhere }");
        for (const command of ["validate", "apply"]) {
            const result = await harness.run(command, "-f", invalidFile);
            expect(result.exitCode).to.equal(4);
            expect(result.error).to.include("nowhere");
        }
        const history = await harness.run("history", "--json");
        expect(readJson(history)).to.have.nested.property("result.entries").with.length(2);
    });

    it("shows the operator and the cells of each change in the audit trail", async () => {
        await harness.run("unset", "grant-filer.weights.hall-a");
        const audit = await harness.run("audit", "--limit", "1");
        expect(audit.out).to.match(/2 +jordan +change-0002 +grant-filer\.weights\.hall-a: 100 -> \(empty\)/);
        expect(audit.out).to.include("Older entries: oleandergap audit --before 2");
    });

    it("writes one JSON value for any command and arguments", async () => {
        await fc.assert(fc.asyncProperty(
            fc.constantFrom("get", "set", "unset", "validate", "history", "audit", "versions", "members", "drain"),
            fc.array(fc.oneof(fc.string(), fc.constantFrom("a.b=1", "x/y", "--expect=a.b=2")), { maxLength: 3 }),
            async (command, commandArguments) => {
                const result = await harness.run("--json", command, ...commandArguments);
                expect(result.exitCode).to.be.within(0, 8);
                const isUsage = result.exitCode === 2 && result.out === "" || result.out.startsWith("Usage:");
                if (isUsage) {
                    expect(result.out + result.error).not.to.equal("");
                    return;
                }
                expect(readJson(result)).to.have.property("ok", result.exitCode === 0);
                expect(result.error).to.equal("");
            },
        ), { numRuns: 150 });
    });

    it("waits until a version is in force on every node and lists the nodes that do not have it", async () => {
        const createHead = (sequence: number): { partner: string; sequence: number; digest: string } =>
            ({ partner: "halloway", sequence, digest: "0".repeat(64) });
        const createFleetNode = (id: string, sequence: number): Harness["report"]["nodes"][number] =>
            ({ member: createMember(id, "hall-a"), applied: { kind: "Known", heads: [createHead(sequence)] } });
        harness.report = { nodes: [createFleetNode("hall-a-1", 1), createFleetNode("hall-a-2", 0)], unknownZones: [] };
        const outdatedResult = await harness.run("versions", "--wait", "1", "--timeout", "1");
        expect(outdatedResult.exitCode).to.equal(1);
        expect(outdatedResult.error).to.include("in force on 1 of 2 nodes").and.include("hall-a-2 in hall-a: version 0");
        expect((await harness.run("versions")).out).to.include("0 (1 behind)");

        harness.report = { nodes: [], unknownZones: [] };
        expect((await harness.run("versions", "--wait", "1", "--timeout", "1")).exitCode).to.equal(1);

        harness.report = {
            nodes: [createFleetNode("hall-a-1", 1)],
            unknownZones: [{ zone: "hall-b", detail: "cut off" }],
        };
        const unknown = await harness.run("versions", "--wait", "1", "--timeout", "1");
        expect(unknown.exitCode).to.equal(1);
        expect(unknown.error).to.include("zone hall-b: could not be queried");

        harness.report = { nodes: [createFleetNode("hall-a-1", 1), createFleetNode("hall-a-2", 1)], unknownZones: [] };
        const done = await harness.run("versions", "--wait", "--json");
        expect(done.exitCode).to.equal(0);
        expect(readJson(done)).to.have.nested.property("result.convergence.inForce", 2);
        expect(readJson(done)).to.have.nested.property("result.confirmedByPlatform", true);

        harness.table.failure = { kind: "Unavailable", detail: "down" };
        expect((await harness.run("versions", "--wait")).out).to.include("newer versions may have been accepted");
    });

    it("shows members and targets and drains a target", async () => {
        const applied = { kind: "Unknown" as const, detail: "not asked" };
        harness.report = {
            nodes: [{ member: createMember("hall-a-1", "hall-a", "grant-filer"), applied }],
            unknownZones: [],
        };
        expect((await harness.run("members")).out).to.match(/hall-a-1 +hall-a +127\.0\.0\.1:17082 +alive +halloway +grant-filer/);
        expect((await harness.run("targets")).out).to.match(/grant-filer +hall-a +hall-a-1 +12 +serving/);
        expect((await harness.run("drain", "hall-a-1")).exitCode).to.equal(0);
        expect((await harness.run("drain", "hall-a-9")).exitCode).to.equal(1);
        expect(harness.drained).to.deep.equal(["hall-a-1"]);
    });

    it("orders, shows and stops a roll-out, and refuses a second one of the same service", async () => {
        expect((await harness.run("rollout", "status")).out).to.include("No roll-out is known.");
        const started = await harness.run("rollout", "start", "grant-filer", "v2", "--within", "60");
        expect(started.out).to.include("grant-filer to v2: running (ordered), 0 s of 60 s");
        expect(await harness.run("rollout", "start", "grant-filer", "v3")).to.deep.include({ exitCode: 5 });
        expect((await harness.run("rollout", "abort", "grant-filer")).out).to.include("stopping (stopped by jordan)");
    });

    it("explains roll-outs of unknown services, impossible times, and nothing to stop", async () => {
        expect(await harness.run("rollout", "start", "unknown", "v2")).to.deep.include({ exitCode: 1 });
        expect((await harness.run("rollout", "start", "grant-filer", "v2", "--within", "0")).error)
            .to.include("use a number of seconds");
        expect(await harness.run("rollout", "abort", "grant-filer")).to.deep.include({ exitCode: 1 });
    });

    it("uses different exit codes for an unreachable platform or node and a rejected credential", async () => {
        harness.table.failure = { kind: "Unavailable", detail: "connection refused" };
        expect((await harness.run("set", "grant-filer.weights.hall-a=1")).exitCode).to.equal(6);
        harness.table.failure = undefined;
        const credential = join(harness.folder, "credential");
        expect((await harness.runWithoutSettings(
            "--node", "127.0.0.1:1", "--credential-file", credential, "get",
        )).exitCode).to.equal(6);
        await harness.writeFile("credential", `ogop_${"x".repeat(43)}\n`);
        expect((await harness.run("get")).exitCode).to.equal(5);
    });

    it("rejects a credential file that others can read and a file without a credential", async () => {
        await harness.writeFile("credential", `${harness.credential}\n`, 0o644);
        const worldReadable = await harness.run("get");
        expect(worldReadable.exitCode).to.equal(5);
        expect(worldReadable.error).to.include("mode 0644").and.include("chmod 600");
        await harness.writeFile("credential", "my secret words");
        const wrong = await harness.run("get");
        expect(wrong.error).to.include("does not contain a credential").and.not.include("words");
        await harness.writeFile("settings.yaml", `credentialFile: ${harness.credential}`);
        expect((await harness.run("get")).exitCode).to.equal(2);
    });

    it("escapes control characters of a value", async () => {
        // Guards against a misleading table on the terminal: a cell contains escape sequences that recolour the
        // terminal or change the text direction, and the value is written without escaping.
        const result = await harness.run("set", "grant-filer.limit=\u001b[2J\u202efiling");
        expect(result.exitCode).to.equal(4);
        const malformedCell = await harness.run("get", "\u001b[31m");
        for (const text of [result.out, result.error, malformedCell.out, malformedCell.error]) {
            expect(hasUnsafeCharacters(text.replaceAll("\n", ""))).to.equal(false);
        }
        expect(result.error).to.include("\\u001b[2J\\u202efiling");
    });

    it("creates a credential file that only its owner can read and shows only the hash", async () => {
        const file = join(harness.folder, "new-credential");
        const commandArguments = ["create-credential", "--partner", "kushiro", "--operator", "m.sato", "--out", file];
        const created = await harness.runWithoutSettings(...commandArguments, "--json");
        expect(created.exitCode).to.equal(0);
        expect((await stat(file)).mode & 0o777).to.equal(0o600);
        const credential = (await readFile(file, "utf8")).trim();
        expect(created.out).to.include("operators/").and.not.include(credential);
        expect((await harness.runWithoutSettings(...commandArguments)).exitCode).to.equal(1);
        expect((await readFile(file, "utf8")).trim()).to.equal(credential);
    });

    it("checks settings without a request to a node and lists the invalid keys", async () => {
        expect((await harness.run("--check-settings")).exitCode).to.equal(0);
        const wrong = await harness.writeFile("wrong.yaml", "nodes: [{ address: nowhere, port: 17082 }]\ncolour: red\n");
        const result = await harness.runWithoutSettings("--settings", wrong, "--check-settings");
        expect(result.exitCode).to.equal(2);
        expect(result.error).to.include("nodes.0.address").and.include("colour").and.include("credentialFile");
        const node = await harness.runWithoutSettings("--node", "127.0.0.1:99999", "--credential-file", "x", "get");
        expect(node.exitCode).to.equal(2);
    });

    it("shows help and usage errors", async () => {
        const help = await harness.runWithoutSettings("--help");
        expect(help.exitCode).to.equal(0);
        expect(help.out).to.include("grant-filer.weights.hall-a=50").and.include("Exit codes");
        expect((await harness.runWithoutSettings("nonsense")).error).to.include("unknown command 'nonsense'");
        expect((await harness.runWithoutSettings()).exitCode).to.equal(2);
        expect((await harness.runWithoutSettings("get")).error).to.include("OLEANDERGAP_SETTINGS");
    });
});

describe("settings.example.yaml", () => {
    it("is valid", async () => {
        const file = fileURLToPath(new URL("../../settings.example.yaml", import.meta.url));
        expect(either.isRight(await loadSettings(commandLineSettingsSchema, file)())).to.equal(true);
    });
});
