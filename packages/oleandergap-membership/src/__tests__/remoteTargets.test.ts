import { expect } from "chai";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { targetDirectoryOptionsSchema, type TargetMember, type ZoneTargetsRequest } from "../index.js";
import { createRemoteTargets, type RemoteTargets } from "../remoteTargets.js";

const service = { partner: "halloway", service: "grant-filer" };
const otherService = { partner: "halloway", service: "deed-vault" };
const targets: TargetMember[] = [{
    nodeId: "b-1", zone: "zone-b", address: "10.0.0.1", gatePort: 17_081, slots: 12, leaving: false, since: 1,
}];
const OLD_DIGEST = 7;
const NEW_DIGEST = 8;

/** Zone with a single contact that is simulated by the test. */
interface FakeZone {
    readonly clock: ManualClock;
    readonly remote: RemoteTargets;
    readonly requests: ZoneTargetsRequest[];
    /** Monotonic times at which a contact was probed. */
    readonly questions: number[];
    /** Zone digest returned by fetches, or undefined to let fetches fail. */
    fetchedDigest: number | undefined;
    /** Zone digest sent by the contact, or undefined if the contact does not respond. */
    contactDigest: number | undefined;
    fetchDelayMs: number;
}

const createFakeZone = (): FakeZone => {
    const clock = createManualClock();
    const signal = new AbortController().signal;
    const requests: ZoneTargetsRequest[] = [];
    const questions: number[] = [];
    const respondToProbe = (): void => {
        if (zone.contactDigest !== undefined) {
            remote.receiveDigest({ sequence: questions.length, digest: zone.contactDigest });
        }
    };
    const remote = createRemoteTargets({
        zone: "zone-b",
        clock,
        random: () => 1,
        options: targetDirectoryOptionsSchema.parse({}),
        probeZone: () => {
            questions.push(clock.monotonic());
            clock.after(1, respondToProbe);
            return questions.length;
        },
        fetchZone: (_zone, request) => async () => {
            requests.push(request);
            const zoneDigest = zone.fetchedDigest;
            await clock.sleep(zone.fetchDelayMs, signal);
            return zoneDigest === undefined ?
                taskEither.left({ kind: "ZoneUnreachable" as const, detail: "unreachable" })() :
                taskEither.right({
                    services: request.services.map(() => ({ kind: "Changed" as const, digest: "d", targets })),
                    zoneDigest,
                })();
        },
        onFetched: () => undefined,
        onSkipped: () => undefined,
    });
    const poll = (): void => {
        remote.poll(signal);
        clock.after(100, poll);
    };
    const zone: FakeZone = {
        clock,
        remote,
        requests,
        questions: questions,
        fetchedDigest: OLD_DIGEST,
        contactDigest: OLD_DIGEST,
        fetchDelayMs: 5,
    };
    poll();
    return zone;
};

/** Requests the targets of the service repeatedly for the duration, like a stream of requests. */
const useServiceFor = async (zone: FakeZone, duration: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < duration; elapsedMs += 1000) {
        zone.remote.targetsOf(service, "grant-filer");
        await zone.clock.advance(Math.min(1000, duration - elapsedMs));
    }
};

describe("createRemoteTargets", () => {
    it("fetches once and then only probes a contact while the digest is unchanged", async () => {
        const zone = createFakeZone();
        await useServiceFor(zone, 25_000);
        expect(zone.requests).to.have.length(1);
        expect(zone.questions.length).to.be.within(12, 15);
        expect(zone.remote.targetsOf(service, "grant-filer")).to.equal(targets);
    });

    it("fetches after 30 seconds even if the digest is unchanged", async () => {
        // Guards against a change that is never detected because the new list has the same 52-bit digest as the old
        // one.
        const zone = createFakeZone();
        await useServiceFor(zone, 70_000);
        expect(zone.requests).to.have.length(3);
    });

    it("fetches within the refresh period if the contact does not respond", async () => {
        // Guards against a leaving target that still receives requests from remote zones because a missing response is
        // treated as an unchanged digest. The contact is dead, disconnected or not ready, or the datagram is lost.
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.contactDigest = undefined;
        await useServiceFor(zone, 10_000);
        expect(zone.requests.length).to.be.within(5, 7);
    });

    it("fetches immediately if a contact sends a different digest, but limits the rate of fetches", async () => {
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.remote.receiveDigest({ sequence: 0, digest: NEW_DIGEST });
        await zone.clock.advance(100);
        expect(zone.requests).to.have.length(2);
        for (let round = 0; round < 20; round++) {
            zone.remote.receiveDigest({ sequence: 0, digest: NEW_DIGEST });
            await zone.clock.advance(100);
        }
        expect(zone.requests.length).to.be.within(5, 7);
    });

    it("ignores a late response to an earlier probe", async () => {
        // Guards against a change that is detected late or never: a response that was sent before the change and
        // arrives after the next probe was sent must not confirm the digest.
        const zone = createFakeZone();
        await useServiceFor(zone, 1000);
        zone.contactDigest = undefined;
        while (zone.questions.length === 0) {
            await useServiceFor(zone, 100);
        }
        zone.remote.receiveDigest({ sequence: zone.questions.length - 1, digest: OLD_DIGEST });
        await useServiceFor(zone, 400);
        expect(zone.requests).to.have.length(2);
    });

    it("fetches a service that comes into use while another fetch is in flight or confirmed", async () => {
        // Guards against requests that are rejected for 30 seconds because of missing targets. The service is first
        // used during the fetch for another service; the digest is then confirmed for the zone, but the lists only
        // cover the requested services.
        const zone = createFakeZone();
        zone.fetchDelayMs = 250;
        zone.remote.targetsOf(service, "grant-filer");
        await zone.clock.advance(150);
        zone.remote.targetsOf(otherService, "deed-vault");
        await useServiceFor(zone, 2000);
        expect(zone.remote.targetsOf(otherService, "deed-vault")).to.equal(targets);
        await useServiceFor(zone, 40_000);
        const before = zone.requests.length;
        zone.remote.targetsOf(otherService, "deed-vault");
        await useServiceFor(zone, 1000);
        expect(zone.requests.slice(before).map((request) => request.services.length)).to.deep.equal([2]);
    });

    it("continues to fetch after a failed fetch even if a contact confirms the old digest", async () => {
        // Guards against a change that is never fetched: a contact announces a change, the fetch fails, and another
        // contact with older data confirms the old digest.
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.fetchedDigest = undefined;
        zone.remote.receiveDigest({ sequence: 0, digest: NEW_DIGEST });
        await useServiceFor(zone, 1000);
        expect(zone.requests).to.have.length(2);
        zone.fetchedDigest = NEW_DIGEST;
        await useServiceFor(zone, 2000);
        expect(zone.requests).to.have.length(3);
    });
});
