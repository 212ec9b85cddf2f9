// Checks that every package declares the packages that its sources import. npm installs all packages of the workspace
// into one folder, so that an undeclared import works here and fails only where a package is installed alone.
import { readdirSync, readFileSync } from "node:fs";
import { isBuiltin } from "node:module";
import { basename, join } from "node:path";

const packagesFolder = join(import.meta.dirname, "../packages");
const platformFolder = join(import.meta.dirname, "../platform");
const importPattern = /^(?:import|export)\b[^;"]*?\bfrom "([^"./][^"]*)"|\bimport\("([^"./][^"]*)"\)/gm;

const nameOf = (specifier) => specifier.split("/").slice(0, specifier.startsWith("@") ? 2 : 1).join("/");

const listSources = (folder) => readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.includes("__tests__"))
    .map((file) => join(folder, file));

const findUndeclared = (folder) => {
    const name = basename(folder);
    const { dependencies = {} } = JSON.parse(readFileSync(join(folder, "package.json"), "utf8"));
    const imported = listSources(join(folder, "src")).flatMap((file) =>
        [...readFileSync(file, "utf8").matchAll(importPattern)]
            .map(([, fixed, dynamic]) => nameOf(fixed ?? dynamic)));
    return [...new Set(imported)]
        .filter((wanted) => !isBuiltin(wanted) && !(wanted in dependencies) && wanted !== name);
};

const folders = [...readdirSync(packagesFolder).map((name) => join(packagesFolder, name)), platformFolder];
const problems = folders.flatMap((folder) =>
    findUndeclared(folder).map((wanted) => `${basename(folder)} imports ${wanted} without declaring it; add it to the dependencies in package.json`));
for (const problem of problems) {
    process.stderr.write(`${problem}\n`);
}
process.exitCode = problems.length > 0 ? 1 : 0;
