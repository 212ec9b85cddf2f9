/** Changes the table of a running fleet and waits until the nodes apply the change. */
import * as either from "fp-ts/lib/Either.js";
import type { Fleet } from "oleandergap-demo";
import type { Milliseconds, NodeId, PartnerName, Sequence } from "oleandergap-types";
import { randomUUID } from "node:crypto";
import { readAppliedVersions, type AppliedVersion } from "./nodeReadings.js";

/** A version created by a change from the operator client, with the times of its acceptance. */
export interface AcceptedChange {
    readonly partner: PartnerName;
    readonly sequence: Sequence;
    /** Wall-clock time just before the change was sent to a node, so that durations from it include the acceptance. */
    readonly sentAt: Milliseconds;
    /** Wall-clock time at which the operator client received the response. */
    readonly acceptedAt: Milliseconds;
}

/**
 * Submits a change of a limit that does not affect the load of any experiment. Sends it to `nodeId`, or to any running
 * node if that is undefined. Throws if the change is refused.
 */
export const submitChange = async (
    fleet: Fleet,
    partner: PartnerName,
    changeNumber: number,
    nodeId?: NodeId,
): Promise<AcceptedChange> => {
    const limitName = Object.keys(fleet.plan.partners.find((plan) => plan.partner === partner)?.limits ?? {})[0];
    const client = fleet.operatorClient(partner, nodeId);
    const sentAt = Date.now();
    const result = await client.acceptChange({
        changeId: randomUUID(),
        edits: [{ cell: `limits/${limitName ?? ""}/timeoutMs`, value: 20_000 + changeNumber }],
    })();
    if (either.isLeft(result)) {
        throw new Error(`change ${changeNumber} of ${partner} was refused: ${JSON.stringify(result.left)}`);
    }
    return { partner, sequence: result.right.sequence, sentAt, acceptedAt: Date.now() };
};

const POLL_PERIOD_MS = 150;

/**
 * Waits until all running nodes use at least version `sequence`. Throws after `timeoutMs` and names some lagging nodes.
 */
export const waitUntilApplied = async (
    fleet: Fleet,
    change: Pick<AcceptedChange, "partner" | "sequence">,
    timeoutMs: Milliseconds,
): Promise<readonly AppliedVersion[]> => {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
        const appliedVersions = await readAppliedVersions(fleet.nodes, change.partner);
        const lagging = appliedVersions.filter(({ sequence }) => sequence < change.sequence);
        const runningCount = fleet.nodes.filter((node) => node.isRunning()).length;
        if (lagging.length === 0 && appliedVersions.length === runningCount) {
            return appliedVersions;
        }
        if (Date.now() >= deadline) {
            const examples = lagging.slice(0, 5).map(({ node, sequence }) => `${node.vm.id} at ${sequence}`);
            throw new Error(
                `${lagging.length} nodes have not applied ${change.partner}:${change.sequence}, such as ${examples.join(", ")}`,
            );
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
    }
};
