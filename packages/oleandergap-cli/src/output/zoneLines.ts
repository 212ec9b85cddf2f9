/** Text output for zones that could not be queried. */
import type { UnknownZone } from "oleandergap-operator";

/** Returns one line for each zone, with the reason. */
export const formatUnknownZones = (zones: readonly UnknownZone[]): readonly string[] =>
    zones.map(({ zone, detail }) => `zone ${zone}: unknown (${detail})`);
