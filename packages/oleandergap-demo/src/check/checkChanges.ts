/** Step of the check: an operator changes a cell, all nodes apply the change, and requests follow the new table. */
import { changeOutcomeSchema } from "oleandergap-operator";
import type { Milliseconds, PartnerName, Sequence, ZoneName } from "oleandergap-types";
import { runCommand } from "../fleet/commandLine.js";
import { waitForValue } from "../fleet/waitFor.js";
import { listServedServices, type CheckContext, type ServedService } from "./checkContext.js";
import { sendRequests, describeRetries } from "./checkServices.js";

const ACTIVATION_TIMEOUT: Milliseconds = 30_000;
const REQUESTS_AFTER_CHANGE = 20;

/** A service and the zone from which its requests are moved away. */
interface ZoneMove {
    readonly service: ServedService;
    readonly zone: ZoneName;
}

/** Returns the partner's first service with targets in several zones, and the first of these zones. */
const chooseMove = ({ fleet }: CheckContext, partner: PartnerName): ZoneMove | undefined => {
    for (const service of listServedServices(fleet)) {
        const zones = new Set(fleet.plan.vms
            .filter(({ target }) => target?.service === service.reference.service && target.partner === partner)
            .map((vm) => vm.zone));
        const [zone] = zones;
        if (service.reference.partner === partner && zones.size > 1 && zone !== undefined) {
            return { service, zone };
        }
    }
    return undefined;
};

/** Weight of a zone before and after a change. */
interface WeightChange {
    readonly before: number;
    readonly after: number;
}

/**
 * Submits the change at the last running node, so that it must propagate through the fleet. Returns the new version.
 */
const submitWeight = async (
    { fleet, report }: CheckContext,
    { service, zone }: ZoneMove,
    { before, after }: WeightChange,
): Promise<Sequence> => {
    const { partner, service: name } = service.reference;
    const entryNode = fleet.nodes.filter((node) => node.isRunning()).at(-1);
    if (entryNode === undefined) {
        throw new Error("no node is running");
    }
    const cell = `${name}.weights.${zone}`;
    const commandArguments = ["set", `${cell}=${after}`, "--expect", `${cell}=${before}`];
    report(`${partner} at ${entryNode.vm.id}: oleandergap ${commandArguments.join(" ")}`);
    const outcome = await runCommand(fleet, { partner, nodeId: entryNode.vm.id, commandArguments });
    return changeOutcomeSchema.parse(outcome).sequence;
};

/** Waits until all running nodes serve from `sequence` or a later version. Returns the time until the last node did. */
export const waitUntilActive = async (
    { fleet, clock, signal }: CheckContext,
    partner: PartnerName,
    sequence: Sequence,
): Promise<Milliseconds> => {
    const startedAt = clock.monotonic();
    await Promise.all(fleet.nodes.filter((node) => node.isRunning()).map((node) => {
        const client = fleet.operatorClient(partner, node.vm.id);
        let lastResult = "not queried yet";
        const probe = async (): Promise<true | undefined> => {
            const table = await client.getTable({ source: "inForce" })();
            lastResult = table._tag === "Left" ? JSON.stringify(table.left) : `version ${table.right.sequence}`;
            return table._tag === "Right" && table.right.sequence >= sequence ? true : undefined;
        };
        const description = `node ${node.vm.id} serves from version ${sequence} of ${partner}`;
        return waitForValue({ description, timeoutMs: ACTIVATION_TIMEOUT, signal }, probe, () => lastResult);
    }));
    return clock.monotonic() - startedAt;
};

/** Changes the weight and waits until all nodes serve from the new version. */
const changeWeight = async (context: CheckContext, move: ZoneMove, change: WeightChange): Promise<void> => {
    const { partner } = move.service.reference;
    const sequence = await submitWeight(context, move, change);
    const elapsed = await waitUntilActive(context, partner, sequence);
    context.report(
        `${partner}: accepted as version ${sequence}, ` +
        `seen in force on all ${context.fleet.nodes.length} nodes ${Math.round(elapsed)} ms after the command ended`,
    );
};

const checkMove = async (context: CheckContext, move: ZoneMove): Promise<void> => {
    const { fleet, report } = context;
    const { partner, service: name } = move.service.reference;
    const weight = move.service.plan.weights[move.zone] ?? 0;
    await changeWeight(context, move, { before: weight, after: 0 });
    const summary = await sendRequests(context, move.service, "moved", REQUESTS_AFTER_CHANGE);
    const { targets } = summary;
    const misroutedTargets = targets.filter((target) => fleet.node(target).vm.zone === move.zone);
    if (misroutedTargets.length > 0) {
        throw new Error(
            `${partner}/${name}: ${misroutedTargets.length} requests were routed to ${move.zone} despite its weight 0`,
        );
    }
    report(`${partner}/${name}: ${targets.length} requests, none in ${move.zone}${describeRetries(summary)}`);
    await changeWeight(context, move, { before: 0, after: weight });
};

/** Changes and restores one weight for each partner that has a service in several zones. */
export const checkChanges = async (context: CheckContext): Promise<void> => {
    const moves = context.fleet.plan.partners.flatMap(({ partner }) => chooseMove(context, partner) ?? []);
    for (const move of moves) {
        await checkMove(context, move);
    }
};
