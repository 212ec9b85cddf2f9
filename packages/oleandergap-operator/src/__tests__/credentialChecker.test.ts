import { expect } from "chai";
import fc from "fast-check";
import type { Either } from "fp-ts/lib/Either.js";
import { createLogger } from "oleandergap-logger";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import {
    createCredentialChecker, formatOperatorKey, hashCredential, operatorOptionsSchema, type CredentialChecker,
    type CredentialQuery, type OperatorOptions,
} from "../index.js";
import { createFakeTable, HALLOWAY_CREDENTIAL, UNKNOWN_CREDENTIAL, type FakeTable } from "./fakes.js";

const FRESH_MS = 5000;
const GRACE_MS = 60_000;
const neverAbortedSignal = new AbortController().signal;
const hallowayKey = formatOperatorKey(hashCredential(HALLOWAY_CREDENTIAL));
const identity = { partner: "halloway", operator: "jordan" };

interface Harness {
    readonly clock: ManualClock;
    readonly table: FakeTable;
    readonly checker: CredentialChecker;
    readonly check: (credential: string, purpose?: CredentialQuery["purpose"]) => Promise<Either<unknown, unknown>>;
}

const createHarness = (options: Partial<OperatorOptions> = {}): Harness => {
    const clock = createManualClock();
    const table = createFakeTable();
    const checker = createCredentialChecker({
        tableService: table.service,
        clock,
        logger: createLogger("test"),
        options: operatorOptionsSchema.parse({
            credentialFreshMs: FRESH_MS, credentialGraceMs: GRACE_MS, unknownCredentialsPerSecond: 1000, ...options,
        }),
    });
    const check: Harness["check"] = (credential, purpose = "read") =>
        checker.check({ credential, clientAddress: "127.0.0.1", purpose }, neverAbortedSignal)();
    return { clock, table, checker, check };
};

describe("createCredentialChecker", () => {
    it("returns the same error for missing, malformed, unknown and revoked credentials, each after one read", async () => {
        const { check, table, clock } = createHarness();
        await check(HALLOWAY_CREDENTIAL);
        table.rows.delete(hallowayKey);
        await clock.advance(FRESH_MS);
        for (const credential of ["", "x", "ogop_short", UNKNOWN_CREDENTIAL, HALLOWAY_CREDENTIAL]) {
            const before = table.reads;
            expect(await check(credential)).to.deep.equal({ _tag: "Left", left: { kind: "Unauthenticated" } });
            expect(table.reads - before, credential).to.equal(1);
        }
    });

    it("rejects a malformed credential even when the table has a row for it", async () => {
        const { check, table } = createHarness();
        table.rows.set(formatOperatorKey(hashCredential("")), identity);
        table.rows.set(formatOperatorKey(hashCredential("weak")), identity);
        expect(await check("")).to.deep.equal({ _tag: "Left", left: { kind: "Unauthenticated" } });
        expect(await check("weak")).to.deep.equal({ _tag: "Left", left: { kind: "Unauthenticated" } });
    });

    it("treats a credential with a malformed row as unknown", async () => {
        const { check, table } = createHarness();
        table.rows.set(hallowayKey, { partner: "Not A Name" });
        expect(await check(HALLOWAY_CREDENTIAL)).to.deep.equal({ _tag: "Left", left: { kind: "Unauthenticated" } });
    });

    it("accepts a cached credential for reads but not for changes during an outage, up to the grace time", async () => {
        // Guards against operators who cannot view the table or the fleet while the platform is down: a credential is
        // used, the platform goes down, and without a cache the credential cannot be checked again.
        const { check, table, clock } = createHarness();
        await check(HALLOWAY_CREDENTIAL);
        table.failure = { kind: "Unavailable", detail: "down" };
        await clock.advance(GRACE_MS);
        expect(await check(HALLOWAY_CREDENTIAL)).to.deep.equal({ _tag: "Right", right: identity });
        const unavailable = { kind: "PlatformUnavailable", detail: "the credential cannot be checked now" };
        expect(await check(HALLOWAY_CREDENTIAL, "change")).to.deep.equal({ _tag: "Left", left: unavailable });
        expect(await check(UNKNOWN_CREDENTIAL)).to.deep.equal({ _tag: "Left", left: unavailable });
        await clock.advance(1);
        expect(await check(HALLOWAY_CREDENTIAL)).to.deep.equal({ _tag: "Left", left: unavailable });
    });

    it("removes a revoked credential from the cache, so that it is rejected during an outage", async () => {
        // Guards against a revoked credential that is accepted during an outage: the credential is used, revoked and
        // rejected once, then the platform goes down while the old confirmation is within the grace time.
        const { check, table, clock } = createHarness();
        await check(HALLOWAY_CREDENTIAL);
        table.rows.delete(hallowayKey);
        await clock.advance(FRESH_MS);
        await check(HALLOWAY_CREDENTIAL);
        table.failure = { kind: "Unavailable", detail: "down" };
        expect(await check(HALLOWAY_CREDENTIAL)).to.have.nested.property("left.kind", "PlatformUnavailable");
    });

    it("stops waiting for a platform that does not respond", async () => {
        // Guards against an operator's read that hangs although the node could serve it: the platform receives the read
        // of the credential and never responds, and the wait has no timeout.
        const { check, table, clock } = createHarness({ credentialTimeoutMs: 1000 });
        await check(HALLOWAY_CREDENTIAL);
        await clock.advance(FRESH_MS);
        table.readDelay = new Promise(() => undefined);
        const response = check(HALLOWAY_CREDENTIAL);
        await clock.advance(1000);
        expect(await response).to.deep.equal({ _tag: "Right", right: identity });
    });

    it("keeps rejecting a revoked credential when the response of an older read arrives late", async () => {
        // Guards against a revoked credential that is accepted again: read 1 finds the row and its response is delayed,
        // the row is deleted, read 2 finds no row, and then the response of read 1 arrives. The time of the
        // confirmation must be the time at which the read was sent, not the time at which its response arrived.
        const { check, table, clock } = createHarness({ credentialTimeoutMs: 60_000 });
        let releaseRead: () => void = () => undefined;
        table.readDelay = new Promise((resolve) => {
            releaseRead = resolve;
        });
        const lateCheck = check(HALLOWAY_CREDENTIAL);
        table.readDelay = undefined;
        table.rows.delete(hallowayKey);
        await clock.advance(FRESH_MS);
        expect(await check(HALLOWAY_CREDENTIAL)).to.have.property("_tag", "Left");
        releaseRead();
        await lateCheck;
        expect(await check(HALLOWAY_CREDENTIAL)).to.have.property("_tag", "Left");
    });

    it("limits the reads caused by guessed credentials without rejecting a cached credential", async () => {
        // Guards against exhausting the read capacity of the platform: one client address sends many guessed
        // credentials in a loop, and each of them costs a read.
        const { check, table, clock } = createHarness({ unknownCredentialsPerSecond: 5 });
        await check(HALLOWAY_CREDENTIAL);
        for (let guess = 0; guess < 200; guess++) {
            await check(`guess-${guess}`);
        }
        expect(table.reads).to.equal(10);
        expect(await check("one-more")).to.deep.equal({ _tag: "Left", left: { kind: "OverBudget", retryAfterMs: 200 } });
        await clock.advance(FRESH_MS);
        expect(await check(HALLOWAY_CREDENTIAL)).to.have.property("_tag", "Right");
    });

    it("agrees with a checker that always reads the row, except within the documented times", async () => {
        const stepArbitrary = fc.oneof(
            fc.record({ kind: fc.constant("Advance" as const), by: fc.integer({ min: 1, max: 8000 }) }),
            fc.record({ kind: fc.constant("SetRow" as const), exists: fc.boolean() }),
            fc.record({ kind: fc.constant("SetOutage" as const), isDown: fc.boolean() }),
            fc.record({ kind: fc.constant("Check" as const), purpose: fc.constantFrom("read", "change") }),
        );
        await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 40 }), async (steps) => {
            const { check, table, clock } = createHarness();
            let lastValidAt = clock.monotonic();
            for (const step of steps) {
                lastValidAt = table.rows.has(hallowayKey) ? clock.monotonic() : lastValidAt;
                switch (step.kind) {
                    case "Advance":
                        await clock.advance(step.by);
                        break;
                    case "SetRow":
                        step.exists ? table.rows.set(hallowayKey, identity) : table.rows.delete(hallowayKey);
                        break;
                    case "SetOutage":
                        table.failure = step.isDown ? { kind: "Unavailable", detail: "down" } : undefined;
                        break;
                    case "Check": {
                        const isGrantedByReference = table.failure === undefined && table.rows.has(hallowayKey);
                        const isGranted = (await check(HALLOWAY_CREDENTIAL, step.purpose))._tag === "Right";
                        const allowedAgeMs = table.failure === undefined ? FRESH_MS : GRACE_MS;
                        const isWithinAllowedTime = step.purpose === "read" && clock.monotonic() - lastValidAt <= allowedAgeMs;
                        expect(isGranted || !isGrantedByReference).to.equal(true);
                        expect(!isGranted || isGrantedByReference || isWithinAllowedTime).to.equal(true);
                    }
                }
            }
        }), { numRuns: 200 });
    });
});
