import { expect } from "chai";
import { createAttemptHistory } from "../attemptHistory.js";
import { toPickRequest, toTrialPickRequest } from "../pickRequest.js";
import type { RequestExecution } from "../requestExecution.js";
import type { RoutableTarget } from "../target.js";

const createTarget = (nodeId: string): RoutableTarget => ({ nodeId, zone: "hall-a", slots: 4, leaving: false, since: 0 });
const OLD = [createTarget("old")];
const NEW = [createTarget("new")];

const createExecution = (includesRetries: boolean): RequestExecution<RoutableTarget> => ({
    service: { partner: "halloway", service: "wills-desk" },
    row: {
        service: "wills-desk",
        weights: new Map(),
        limitName: "usual",
        limit: { concurrency: 4, queue: 4, timeoutMs: 1000, retryRatio: 0.1 },
        idempotency: "optional",
        placement: "load",
    },
    targets: OLD,
    trial: { version: "v2", targets: NEW, includesRetries },
    idempotent: true,
    canReplayBody: () => true,
    deadline: 1000,
    retriesAllowed: true,
    signal: new AbortController().signal,
});

describe("a request that tries a new version", () => {
    it("goes to its targets first, in a group of their own", () => {
        const request = toTrialPickRequest(createExecution(false), createAttemptHistory());
        expect(request).to.deep.include({ targets: NEW, group: "v2" });
    });

    it("is retried at the usual targets, so that callers do not pay for a bad version", () => {
        const history = createAttemptHistory();
        history.addAttempt(createTarget("new"));
        expect(toTrialPickRequest(createExecution(false), history)).to.equal(undefined);
        expect(toPickRequest(createExecution(false), history)).to.deep.include({ targets: OLD, exclude: ["new"] });
    });

    it("is retried at the new version once all requests go there", () => {
        const history = createAttemptHistory();
        history.addAttempt(createTarget("new"));
        expect(toTrialPickRequest(createExecution(true), history)?.targets).to.equal(NEW);
    });
});
