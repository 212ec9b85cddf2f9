/** Test helpers that query a running fleet through the same interfaces as operators and callers. */
import * as either from "fp-ts/lib/Either.js";
import type { ChangeInput, ChangeOutcomeView, OperatorError } from "oleandergap-operator";
import type { Caller, CallRequest, CallResult, GatewayAddress } from "oleandergap-standins";
import type { Milliseconds, NodeId, PartnerName, Sequence, ServiceReference } from "oleandergap-types";
import type { Fleet } from "../fleet/fleet.js";
import { waitForValue } from "../fleet/waitFor.js";

/** Time limits of tests with real processes on a busy machine. The tests assert nothing about durations. */
export const TIME_LIMIT: Milliseconds = 150_000;
export const STEP_TIMEOUT: Milliseconds = 60_000;
const CALL_TIMEOUT: Milliseconds = 15_000;
const FIRST_PORT = 20_000;
const PORT_RANGE_COUNT = 250;
const PORTS_PER_RANGE = 40;
const RANGES_PER_PROCESS = 8;

/** Returns ports that other runs on this machine are unlikely to use. `offset` distinguishes the fleets of one run. */
export const choosePortBase = (offset: number): number =>
    FIRST_PORT + (process.pid * RANGES_PER_PROCESS + offset) % PORT_RANGE_COUNT * PORTS_PER_RANGE;

export const findGateway = (fleet: Fleet, nodeId: NodeId): GatewayAddress =>
    ({ address: fleet.node(nodeId).vm.address, port: fleet.plan.ports.gateway });

/** Clears all faults of the platform and restarts all nodes, so that a failed test does not make the next one fail. */
export const restoreFleet = async (fleet: Fleet): Promise<void> => {
    await fleet.platform.setFaults({});
    await Promise.all(fleet.nodes.map(async (node) => {
        node.resume();
        await node.start();
    }));
    await fleet.waitUntilReady();
};

/** Waits until `probe` returns true. The error message contains `description`. */
export const waitUntil = async (fleet: Fleet, description: string, probe: () => Promise<boolean>): Promise<void> => {
    await waitForValue({ description, timeoutMs: STEP_TIMEOUT, signal: fleet.signal }, async () =>
        await probe() ? true : undefined);
};

export const createRead = (service: ServiceReference, runKey: string): CallRequest =>
    ({ service, method: "GET", path: `/items/${runKey}`, runKey, timeoutMs: CALL_TIMEOUT });

export const createKeyedPost = (
    service: ServiceReference,
    key: string,
    timeoutMs: Milliseconds = CALL_TIMEOUT,
): CallRequest => ({
    ...createRead(service, key),
    timeoutMs,
    method: "POST",
    idempotencyKey: key,
    body: new TextEncoder().encode(`content of ${key}`),
});

/** Returns the sequence from a version in the form `partner:sequence`. */
export const parseSequence = (version: string | undefined): Sequence => Number(version?.split(":").at(-1));

/** Sends new read requests until one is answered. */
export const readUntilAnswered = (
    fleet: Fleet,
    caller: Caller,
    service: ServiceReference,
    nodeId: NodeId,
): Promise<Extract<CallResult, { readonly kind: "Answered" }>> => {
    let count = 0;
    let lastResult = "";
    const waitOptions = {
        description: `${nodeId} serves ${service.service}`,
        timeoutMs: STEP_TIMEOUT,
        signal: fleet.signal,
    };
    return waitForValue(waitOptions, async () => {
        count += 1;
        const result = await caller.call(findGateway(fleet, nodeId), createRead(service, `${nodeId}-${count}`));
        lastResult = JSON.stringify(result);
        return result.kind === "Answered" ? result : undefined;
    }, () => lastResult);
};

/** Returns the version that is in force at `nodeId` according to this node, or undefined if the query fails. */
export const readActiveVersion = async (
    fleet: Fleet,
    partner: PartnerName,
    nodeId: NodeId,
): Promise<Sequence | undefined> => {
    const table = await fleet.operatorClient(partner, nodeId).getTable({ source: "inForce" })();
    return either.isRight(table) ? table.right.sequence : undefined;
};

/** Waits until each of `nodeIds` reports that it serves from `sequence` or a later version. */
export const waitUntilActive = async (
    fleet: Fleet,
    partner: PartnerName,
    sequence: Sequence,
    nodeIds: readonly NodeId[],
): Promise<void> => {
    await Promise.all(nodeIds.map((nodeId) =>
        waitUntil(fleet, `${nodeId} serves from ${partner}:${sequence}`, async () =>
            (await readActiveVersion(fleet, partner, nodeId) ?? 0) >= sequence)));
};

/** Errors after which an operator may send the same change again. */
const RETRYABLE: ReadonlySet<OperatorError["kind"]> = new Set<OperatorError["kind"]>([
    "OutcomeUnknown", "PlatformUnavailable", "NodeUnreachable", "NotReady", "OverBudget", "Contended", "Internal",
]);

/** Sends a change with one id to the `entryNodes` in turn until its outcome is known. */
export const acceptWithRetries = (
    fleet: Fleet,
    partner: PartnerName,
    change: ChangeInput,
    entryNodes: readonly NodeId[],
): Promise<either.Either<OperatorError, ChangeOutcomeView>> => {
    let lastOutcome = "";
    let count = 0;
    const waitOptions = {
        description: `change ${change.changeId} has an outcome`,
        timeoutMs: STEP_TIMEOUT,
        signal: fleet.signal,
    };
    return waitForValue(waitOptions, async () => {
        const entryNode = entryNodes[count % entryNodes.length];
        count += 1;
        const outcome = await fleet.operatorClient(partner, entryNode).acceptChange(change)();
        lastOutcome = JSON.stringify(outcome);
        return either.isLeft(outcome) && RETRYABLE.has(outcome.left.kind) ? undefined : outcome;
    }, () => lastOutcome);
};

/** Submits a change and returns its version. Rejects if the change is refused. */
export const acceptChange = async (
    fleet: Fleet,
    partner: PartnerName,
    change: ChangeInput,
    entryNode: NodeId,
): Promise<Sequence> => {
    const outcome = await acceptWithRetries(fleet, partner, change, [entryNode]);
    if (either.isLeft(outcome)) {
        throw new Error(`change ${change.changeId} was refused: ${JSON.stringify(outcome.left)}`);
    }
    return outcome.right.sequence;
};
