/** Reads the resource usage of the nodes of a fleet, without its stand-ins. */
import type { Fleet, ProcessUsage } from "oleandergap-demo";

export const readNodeUsage = async (fleet: Fleet): Promise<readonly ProcessUsage[]> =>
    (await fleet.usage()).filter(({ name }) => name.startsWith("node "));
