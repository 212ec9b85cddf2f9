/**
 * Fills an empty platform with the partners' first tables, through the same change service as later changes, and with
 * credentials.
 */
import * as either from "fp-ts/lib/Either.js";
import { createChangeService, type ChangeRequest, type ChangeService } from "oleandergap-configuration";
import { createLogger } from "oleandergap-logger";
import { createPlatformClient } from "oleandergap-platform";
import type { Clock } from "oleandergap-types";
import { createSystemClock } from "oleandergap-utils";
import type { FleetPlan, PartnerPlan } from "../plan/fleetPlan.js";
import { listSeedChanges } from "../plan/seedEdits.js";
import { createOperatorAccess, type OperatorAccess } from "./credentials.js";
import type { FleetFiles } from "./fleetFiles.js";

/**
 * Submits one change and retries it while the partner's change budget is exceeded. A large first table needs more than
 * the budget permits at once.
 */
const acceptWithRetries = async (
    changeService: ChangeService,
    clock: Clock,
    request: ChangeRequest,
    signal: AbortSignal,
): Promise<void> => {
    for (;;) {
        signal.throwIfAborted();
        const outcome = await changeService.accept(request, signal)();
        if (either.isRight(outcome)) {
            return;
        }
        if (outcome.left.kind !== "OverBudget") {
            throw new Error(`the first table of ${request.partner} was refused: ${JSON.stringify(outcome.left)}`);
        }
        await clock.sleep(outcome.left.retryAfterMs, signal);
    }
};

const seedTable = async (
    changeService: ChangeService,
    clock: Clock,
    plan: PartnerPlan,
    signal: AbortSignal,
): Promise<void> => {
    for (const [index, cells] of listSeedChanges(plan).entries()) {
        await acceptWithRetries(changeService, clock, {
            partner: plan.partner,
            operator: plan.operator,
            changeId: `first-table-${index + 1}`,
            edits: cells.map(({ cell, value }) => ({ cell, value })),
        }, signal);
    }
};

/**
 * Fills the platform and returns the access data of the operators. Rejects if the platform or the change service
 * refuses a write.
 */
export const seedPlatform = async (
    plan: FleetPlan,
    files: FleetFiles,
    signal: AbortSignal,
): Promise<readonly OperatorAccess[]> => {
    const clock = createSystemClock();
    const clientLifetime = new AbortController();
    const { tableService, objectStore } = createPlatformClient({
        address: plan.platform.address,
        port: plan.ports.platform,
        timeoutMs: 5000,
        longestMs: 15_000,
        connections: 2,
        maximumAnswerBytes: 8 * 1024 * 1024,
        clock,
        signal: clientLifetime.signal,
    });
    const logger = createLogger("seed");
    const changeService = createChangeService({ tableService, objectStore, clock, random: Math.random, logger });
    try {
        const access: OperatorAccess[] = [];
        for (const partner of plan.partners) {
            await seedTable(changeService, clock, partner, signal);
            access.push(await createOperatorAccess(partner, tableService, files, signal));
        }
        return access;
    }
    finally {
        clientLifetime.abort();
    }
};
