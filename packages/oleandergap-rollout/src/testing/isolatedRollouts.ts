/** Roll-outs of a node without peers, for tests of other packages. */
import { createLogger } from "oleandergap-logger";
import type { Clock, TableService } from "oleandergap-types";
import { defaultRolloutOptions } from "../options.js";
import { createRollouts, type Rollouts } from "../rollouts.js";
import type { LocalTargetState } from "../targetReporter.js";

/** Dependencies of {@link createIsolatedRollouts}. */
export interface IsolatedRolloutsDependencies {
    readonly clock: Clock;
    readonly tableService: Pick<TableService, "transact" | "scan" | "read">;
    readonly findLocalTarget?: () => LocalTargetState | undefined;
}

/** Creates the roll-outs of a node that has no peers. */
export const createIsolatedRollouts = <Peer = never>(
    { clock, tableService, findLocalTarget = () => undefined }: IsolatedRolloutsDependencies,
): Rollouts<Peer> => createRollouts<Peer>({
    nodeId: "lone",
    clock,
    random: () => 0,
    logger: createLogger("test"),
    options: defaultRolloutOptions,
    network: { members: () => [], contacts: () => [], isFirstInZone: () => true, send: () => undefined },
    findZoneRank: () => 0,
    tableService,
    findLocalTarget,
    listTargets: () => [],
    signal: new AbortController().signal,
});
