/** Temporary folder of a fleet with settings, credentials and logs. */
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";

/** Files of a fleet. The write functions return the path of the written file. */
export interface FleetFiles {
    readonly folder: string;
    readonly logFile: (name: string) => string;
    readonly writeYaml: (name: string, value: unknown) => Promise<string>;
    readonly writeJson: (name: string, value: unknown) => Promise<string>;
    /** Writes a file that only its owner can read. */
    readonly writeSecret: (name: string, text: string) => Promise<string>;
    readonly remove: () => Promise<void>;
}

const OWNER_ONLY = 0o600;

/** Creates a new empty folder for a fleet. */
export const createFleetFiles = async (): Promise<FleetFiles> => {
    const folder = await mkdtemp(join(tmpdir(), "oleandergap-fleet-"));
    await mkdir(join(folder, "logs"));

    const write = async (name: string, text: string, mode?: number): Promise<string> => {
        const file = join(folder, name);
        await writeFile(file, text, mode === undefined ? {} : { mode });
        return file;
    };

    return {
        folder,
        logFile: (name) => join(folder, "logs", `${name}.log`),
        writeYaml: (name, value) => write(`${name}.yaml`, stringify(value)),
        writeJson: (name, value) => write(`${name}.json`, JSON.stringify(value)),
        writeSecret: (name, text) => write(name, `${text}\n`, OWNER_ONLY),
        remove: () => rm(folder, { recursive: true, force: true }),
    };
};
