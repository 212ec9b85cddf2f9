/** Programs that a fleet runs, as built in this workspace. */
import { access } from "node:fs/promises";
import { fileURLToPath } from "node:url";

/** Path of the packages folder, relative to the built file in `lib/fleet`. */
const PACKAGES_FOLDER = "../../../";

const locateInPackages = (path: string): string => fileURLToPath(new URL(`${PACKAGES_FOLDER}${path}`, import.meta.url));

/** Paths of the built programs. `checkPrograms` checks whether they exist. */
export const programs = {
    /** Executable whose first line contains the Node.js flags that the daemon needs. */
    node: locateInPackages("oleandergap-node/bin/oleandergap-node.js"),
    nodeModule: locateInPackages("oleandergap-node/lib/main.js"),
    commandLine: locateInPackages("oleandergap-cli/lib/main.js"),
    platform: locateInPackages("oleandergap-standins/lib/platformMain.js"),
    targets: locateInPackages("oleandergap-standins/lib/targetsMain.js"),
} as const;

/** Rejects with instructions if one of `requiredPrograms` is not built. */
export const checkPrograms = async (requiredPrograms: readonly string[]): Promise<void> => {
    for (const program of requiredPrograms) {
        try {
            await access(program);
        }
        catch {
            throw new Error(`${program} is missing. Build the workspace first: npm run build`);
        }
    }
};
