import { expect } from "chai";
import type { TargetMember } from "oleandergap-membership";
import { createManualClock } from "oleandergap-utils";
import { createTargetLookup, type TargetQuery } from "../gateway/targetLookup.js";
import { createMember, createRow, createTable } from "./gatewaySupport.js";

const FIRST_LOOKUP_MS = 500;

const row = createRow({ weights: new Map([["hall-a", 0], ["hall-b", 5]]) });

const createQuery = (): TargetQuery => ({
    service: { partner: "halloway", service: "grant-filer" },
    row,
    table: createTable(row),
    deadline: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
});

describe("createTargetLookup", () => {
    it("returns the same array as long as nothing has changed, and looks up only zones with a weight", () => {
        const [first, second] = [createMember("a", 1), createMember("b", 2)];
        let targets: readonly TargetMember[] = [first];
        const requestedZones: unknown[] = [];
        const directory = {
            targetsOf: (_service: unknown, zones?: readonly string[]) => {
                requestedZones.push(zones);
                return [...targets];
            },
        };
        const findTargets = createTargetLookup({
            clock: createManualClock(), directory, firstLookupMs: FIRST_LOOKUP_MS,
        });
        const query = createQuery();

        const before = findTargets(query);
        expect(findTargets(query)).to.equal(before);
        targets = [first, second];
        expect(findTargets(query)).not.to.equal(before);
        expect(requestedZones[0]).to.deep.equal(["hall-b"]);
    });

    // Guards against a burst of NoTarget refusals after the restart of a node. The first request makes the node request
    // the targets of other zones. It must not be refused before they respond, because a target that has not been
    // reported yet may exist.
    it("makes the first requests wait until other zones have responded", async () => {
        const clock = createManualClock();
        let targets: readonly TargetMember[] = [];
        const findTargets = createTargetLookup({
            clock, directory: { targetsOf: () => targets }, firstLookupMs: FIRST_LOOKUP_MS,
        });

        const found = Promise.resolve(findTargets(createQuery()));
        await clock.advance(100);
        targets = [createMember("a", 1)];
        await clock.advance(100);

        expect(await found).to.deep.equal(targets);
    });

    it("returns no targets immediately after the first wait when the service has none", async () => {
        const clock = createManualClock();
        const findTargets = createTargetLookup({
            clock, directory: { targetsOf: () => [] }, firstLookupMs: FIRST_LOOKUP_MS,
        });

        const first = Promise.resolve(findTargets(createQuery()));
        await clock.advance(FIRST_LOOKUP_MS);

        expect(await first).to.deep.equal([]);
        expect(findTargets(createQuery())).to.deep.equal([]);
    });
});
