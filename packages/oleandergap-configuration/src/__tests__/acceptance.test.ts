import { expect } from "chai";
import fastCheck from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import { createSeededRandom, pickIndex, pickOne, type Random } from "oleandergap-utils";
import type { ChangeError } from "../change/changeError.js";
import type { CellEdit, ChangeRequest } from "../change/changeRequest.js";
import type { ChangeService } from "../change/changeService.js";
import type { ChangeResult } from "../change/outcomeReader.js";
import {
    createNode,
    createRandomFaults,
    createRequest,
    createTestPlatform,
    getAccepted,
    neverAborted,
    readChain,
    withSingleKeyReads,
    createEdits,
    type FaultSwitch,
    type TestPlatform,
} from "./changeSupport.js";
import { initialCells } from "./support.js";

const PARTNERS = ["halloway", "kushiro"];
const NODE_COUNT = 3;
const EDITED_CELLS = ["services/desk/weights/east", "services/desk/weights/west", "services/vault/weights/west"];

/**
 * Errors after which the outcome is unknown or the change may still be accepted, so that a client sends the same change
 * again.
 */
const retryableErrors: ReadonlySet<ChangeError["kind"]> =
    new Set(["Unavailable", "OutcomeUnknown", "Contended", "OverBudget"]);

const isRetryable = (result: ChangeResult): boolean => either.isLeft(result) && retryableErrors.has(result.left.kind);

interface FinishedChange {
    readonly request: ChangeRequest;
    readonly result: ChangeResult;
}

/**
 * Simulates an operator who makes several changes sequentially and retries each one at random nodes until its outcome
 * is known.
 */
const runOperator = async (
    nodes: readonly ChangeService[],
    random: Random,
    partner: string,
    name: string,
    faults: FaultSwitch,
): Promise<readonly FinishedChange[]> => {
    const finishedChanges: FinishedChange[] = [];
    for (let number = 0; number < 3; number++) {
        const cell = pickOne(random, EDITED_CELLS) ?? "";
        const proposed = pickIndex(random, 1000);
        const isExplicit = random() < 0.5;
        const edit: CellEdit = { cell, value: proposed };
        const edits = isExplicit ? [{ ...edit, expected: { kind: "Value" as const, value: number } }] : [edit];
        const request = createRequest(partner, `change-${partner}-${name}-${number}`, edits);
        let result: ChangeResult = either.left({ kind: "Unavailable", detail: "not sent" });
        for (let attempt = 0; isRetryable(result); attempt++) {
            faults.isOn &&= attempt < 20;
            const node = pickOne(random, nodes);
            result = await (node?.accept(request, neverAborted)() ?? result);
        }
        finishedChanges.push({ request, result });
    }
    return finishedChanges;
};

const checkOutcome = (platform: TestPlatform, { request, result }: FinishedChange): void => {
    const { audit, deltas } = readChain(platform, request.partner);
    const entries = audit.filter((entry) => entry.changeId === request.changeId);
    if (either.isRight(result) && result.right.kind === "Accepted") {
        expect(entries.map((entry) => entry.sequence)).to.deep.equal([result.right.head.sequence]);
        const delta = deltas.find((candidate) => candidate.sequence === entries[0]?.sequence);
        expect(delta?.changes.map((change) => change.after)).to.deep.equal(request.edits.map((edit) => edit.value));
        return;
    }
    expect(entries, `a change that was not accepted has no entry: ${JSON.stringify(result)}`).to.deep.equal([]);
    if (either.isLeft(result)) {
        expect(result.left.kind).to.equal("Conflict");
        const conflict = result.left.kind === "Conflict" ? result.left.conflicts[0] : undefined;
        expect(conflict?.actual).to.not.equal(conflict?.expected);
        expect(conflict?.proposed).to.equal(request.edits[0]?.value);
    }
};

/** Creates a platform with random faults. For odd seeds, it reads each key separately. */
const createPlatform = (seed: number, random: Random, faults: FaultSwitch): TestPlatform => {
    const platform = createTestPlatform(createRandomFaults(random, faults));
    return seed % 2 === 0 ? platform : withSingleKeyReads(platform);
};

const seedArbitrary = fastCheck.integer({ min: 0, max: 1_000_000 });

describe("createAcceptance", () => {
    // Guards against changes that are lost, applied twice or silently overwritten. Operators of both partners edit the
    // same cells at several nodes, while the platform fails, loses responses after writes and applies writes late. The
    // fault arises if a node assumes the outcome of a lost response instead of reading it back, or writes
    // unconditionally.
    it("applies each accepted change exactly once under concurrent changes and lost responses", async () => {
        await fastCheck.assert(fastCheck.asyncProperty(seedArbitrary, async (seed) => {
            const random = createSeededRandom(seed);
            const faults = { isOn: false };
            const platform = createPlatform(seed, random, faults);
            const nodes = Array.from({ length: NODE_COUNT }, (_, index) =>
                createNode(platform, { random: createSeededRandom(seed + index) }));
            for (const partner of PARTNERS) {
                const first = createRequest(partner, "first-change", createEdits(initialCells));
                getAccepted(await createNode(platform).accept(first, neverAborted)());
            }
            faults.isOn = true;
            const finished = await Promise.all(PARTNERS.flatMap((partner) =>
                ["one", "two"].map((name) => runOperator(nodes, random, partner, name, faults))));
            finished.flat().forEach((change) => checkOutcome(platform, change));
        }), { numRuns: 150 });
    });

    // Guards against a change that is recorded twice or that conflicts with itself. After a lost response, the client
    // sends the change to other nodes while the first request is in flight. Nodes do not share their attempts; only the
    // change row coordinates them.
    it("accepts a change only once when several nodes receive it concurrently", async () => {
        await fastCheck.assert(fastCheck.asyncProperty(seedArbitrary, async (seed) => {
            const random = createSeededRandom(seed);
            const faults = { isOn: false };
            const platform = createPlatform(seed, random, faults);
            const nodes = Array.from({ length: NODE_COUNT }, () => createNode(platform));
            await createNode(platform).accept(
                createRequest("halloway", "first-change", createEdits(initialCells)),
                neverAborted,
            )();
            faults.isOn = true;
            const edit: CellEdit = { cell: "services/desk/weights/east", value: 8 };
            const isExplicit = random() < 0.5;
            const edits = isExplicit ? [{ ...edit, expected: { kind: "Value" as const, value: 1 } }] : [edit];
            const request = createRequest("halloway", "same-change", edits);
            const results = await Promise.all(nodes.flatMap((node) =>
                [node.accept(request, neverAborted)(), node.accept(request, neverAborted)()]));
            faults.isOn = false;
            results.push(await createNode(platform).accept(request, neverAborted)());
            for (const result of results.filter((candidate) => !isRetryable(candidate))) {
                expect(getAccepted(result)).to.include({ kind: "Accepted" }).and.have.nested.property("head.sequence", 2);
            }
            expect(isRetryable(results.at(-1) ?? either.left({ kind: "Unavailable", detail: "" }))).to.equal(false);
            expect(readChain(platform, "halloway").audit.map((entry) => entry.changeId))
                .to.deep.equal(["first-change", "same-change"]);
        }), { numRuns: 150 });
    });
});
