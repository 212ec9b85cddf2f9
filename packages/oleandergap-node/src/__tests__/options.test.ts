import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { formatSettingsError, loadSettings, validateSettings } from "oleandergap-validation";
import { z } from "zod";
import { nodeOptionsSchema } from "../options.js";

const EXAMPLE = fileURLToPath(new URL("../../settings.example.yaml", import.meta.url));

const readExample = async (): Promise<Record<string, unknown>> => {
    const example = await loadSettings(z.record(z.string(), z.unknown()), EXAMPLE)();
    return either.isRight(example) ? example.right : {};
};

const describeProblem = async (changes: Record<string, unknown>): Promise<string> => {
    const checked = validateSettings(nodeOptionsSchema, { ...await readExample(), ...changes }, "node.yaml");
    return either.isLeft(checked) ? formatSettingsError(checked.left) : "";
};

describe("nodeOptionsSchema", () => {
    it("accepts the annotated example", async () => {
        const options = await loadSettings(nodeOptionsSchema, EXAMPLE)();

        expect(either.isRight(options) && options.right.requests.gateSilenceMs).to.equal(500);
    });

    it("has the defaults that the comments of the example show", async () => {
        const text = await readFile(EXAMPLE, "utf8");
        const shown = [...text.matchAll(/^# {3}(\w+): (\d+)/gm)].map(([, name, value]) => [name, Number(value)]);
        const options = nodeOptionsSchema.parse(await readExample());
        const defaults: Record<string, unknown> = {
            ...options.requests, ...options.target, ...options.stop, ...options.cluster,
        };

        expect(shown).not.to.have.length(0);
        for (const [name, value] of shown) {
            expect(defaults[String(name)], String(name)).to.equal(value);
        }
    });

    it("reports the path, the value and the allowed values of an invalid setting", async () => {
        expect(await describeProblem({ stop: { lingerMs: "soon" } })).to.match(/stop\.lingerMs: found "soon"; .*number/);
        expect(await describeProblem({ routing: { refusals: { starvation: "maybe" } } }))
            .to.match(/routing\.refusals\.starvation: found "maybe"; .*boolean/);
        expect(await describeProblem({ gate: { marginPart: 2 } })).to.match(/gate\.marginPart: found 2; .*1/);
        expect(await describeProblem({ listne: {} })).to.include("the unknown key \"listne\"");
    });

    it("rejects a wildcard address, because other nodes cannot connect to it", async () => {
        const listen = { address: "0.0.0.0", gatewayPort: 1, gatePort: 2, controlPort: 3, adminPort: 4 };

        expect(await describeProblem({ listen })).to.include("not a wildcard");
    });
});
