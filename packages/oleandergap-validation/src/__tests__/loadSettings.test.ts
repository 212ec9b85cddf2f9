import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { z } from "zod";
import { formatSettingsError, loadSettings } from "../index.js";

const schema = z.strictObject({
    listen: z.strictObject({ port: z.number().int().min(1).max(65_535) }),
    credentialFile: z.string().optional(),
});

describe("loadSettings", () => {
    let folder = "";

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "oleandergap-settings-"));
    });

    afterEach(async () => {
        await rm(folder, { recursive: true });
    });

    const loadAndFormat = async (text: string): Promise<string> => {
        const file = join(folder, "settings.yaml");
        await writeFile(file, text);
        const result = await loadSettings(schema, file)();
        return either.isLeft(result) ? formatSettingsError(result.left) : JSON.stringify(result.right);
    };

    it("returns the typed settings", async () => {
        expect(await loadAndFormat("listen:\n  port: 80\n")).to.equal("{\"listen\":{\"port\":80}}");
    });

    it("reports the path, the value and the allowed values", async () => {
        const text = await loadAndFormat("listen:\n  port: 99999\n");
        expect(text).to.match(/listen\.port: found 99999; .*65535/);
    });

    it("rejects unknown keys and reports their names", async () => {
        expect(await loadAndFormat("listen:\n  port: 80\n  prot: 81\n")).to.contain("unknown key \"prot\"");
    });

    it("does not include an invalid value below a key that holds a secret", async () => {
        const text = await loadAndFormat("listen:\n  port: 80\ncredentialFile: [hunter2]\n");
        expect(text).to.contain("credentialFile").and.not.to.contain("hunter2");
    });

    it("distinguishes a missing value, invalid YAML and a missing file", async () => {
        expect(await loadAndFormat("listen: {}\n")).to.contain("listen.port: found nothing");
        expect(await loadAndFormat("listen: [\n")).to.contain("not valid YAML");
        const missing = await loadSettings(schema, join(folder, "absent.yaml"))();
        expect(either.isLeft(missing) && missing.left.kind).to.equal("Unreadable");
    });
});
