/** Operators' router with every procedure that the command line can call. */
import { changeRouter } from "./change.js";
import { fleetRouter } from "./fleet.js";
import { auditRouter, historyRouter } from "./history.js";
import { rolloutRouter } from "./rollout.js";
import { tableRouter } from "./table.js";
import { targetRouter } from "./target.js";
import { router } from "./trpc.js";

/** All procedures under the names by which the client calls them. */
export const operatorRouter = router({
    table: tableRouter,
    change: changeRouter,
    history: historyRouter,
    audit: auditRouter,
    fleet: fleetRouter,
    target: targetRouter,
    rollout: rolloutRouter,
});

/** Router type from which the type of the tRPC client is derived. */
export type OperatorRouter = typeof operatorRouter;
