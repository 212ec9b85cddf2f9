/** A quota that admits every request, for nodes whose tables limit no customer. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock } from "oleandergap-types";
import type { Quota } from "./quota.js";

/** Creates a quota without limits. */
export const createUnlimitedQuota = (clock: Pick<Clock, "monotonic">): Quota => ({
    admit: ({ name }) => either.right({ customer: name, admittedAt: clock.monotonic() }),
    giveBack: () => undefined,
});
