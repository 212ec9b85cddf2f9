import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { formatSecretFileError, readSecretFile } from "../index.js";

describe("readSecretFile", () => {
    let folder = "";
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "oleandergap-secret-"));
    });
    afterEach(() => rm(folder, { recursive: true }));

    const readAndFormat = async (mode: number, text = "the-secret"): Promise<string> => {
        const file = join(folder, `file-${mode.toString(8)}`);
        await writeFile(file, text, { mode });
        const secret = await readSecretFile(file)();
        return either.isRight(secret) ? secret.right : formatSecretFileError("key", secret.left);
    };

    it("returns the text of a file that only the owner can read", async () => {
        expect(await readAndFormat(0o600)).to.equal("the-secret");
    });

    it("rejects files that group or others can read, files that are too long and missing files", async () => {
        expect(await readAndFormat(0o640)).to.include("mode 0640").and.include("chmod 600").and.not.include("the-secret");
        expect(await readAndFormat(0o604)).to.include("mode 0604");
        expect(await readAndFormat(0o400, "x".repeat(2000))).to.include("longer than 1024 bytes");
        expect(either.isLeft(await readSecretFile(join(folder, "absent"))())).to.equal(true);
    });
});
