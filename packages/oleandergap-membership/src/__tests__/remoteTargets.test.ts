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

/** A zone whose one contact is played by the test. */
interface FakeZone {
    readonly clock: ManualClock;
    readonly remote: RemoteTargets;
    readonly requests: ZoneTargetsRequest[];
    readonly questions: number[];
    /** Digest that fetches bring; undefined makes them fail. */
    fetchedDigest: number | undefined;
    /** Digest that the contact gives; undefined keeps it silent. */
    contactDigest: number | undefined;
    fetchDelayMs: number;
}

const createFakeZone = (): FakeZone => {
    const clock = createManualClock();
    const signal = new AbortController().signal;
    const requests: ZoneTargetsRequest[] = [];
    const questions: number[] = [];
    const answerProbe = (): void => {
        if (zone.contactDigest !== undefined) {
            remote.hearDigest({ sequence: questions.length, digest: zone.contactDigest });
        }
    };
    const remote = createRemoteTargets({
        zone: "zone-b",
        clock,
        random: () => 1,
        options: targetDirectoryOptionsSchema.parse({}),
        probeZone: () => {
            questions.push(clock.monotonic());
            clock.after(1, answerProbe);
            return questions.length;
        },
        fetchZone: (_zone, request) => async () => {
            requests.push(request);
            const zoneDigest = zone.fetchedDigest;
            await clock.sleep(zone.fetchDelayMs, signal);
            return zoneDigest === undefined ?
                taskEither.left({ kind: "ZoneUnreachable" as const, detail: "cut" })() :
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
        questions,
        fetchedDigest: OLD_DIGEST,
        contactDigest: OLD_DIGEST,
        fetchDelayMs: 5,
    };
    poll();
    return zone;
};

/** Uses the service throughout the time, as requests do. */
const useServiceFor = async (zone: FakeZone, duration: number): Promise<void> => {
    for (let passed = 0; passed < duration; passed += 1000) {
        zone.remote.targetsOf(service, "grant-filer");
        await zone.clock.advance(Math.min(1000, duration - passed));
    }
};

describe("createRemoteTargets", () => {
    it("fetches once and then only asks a contact while the digest stays the same", async () => {
        const zone = createFakeZone();
        await useServiceFor(zone, 25_000);
        expect(zone.requests).to.have.length(1);
        expect(zone.questions.length).to.be.within(12, 15);
        expect(zone.remote.targetsOf(service, "grant-filer")).to.equal(targets);
    });

    it("fetches after half a minute even though the digest is the same", async () => {
        // Symptom: a zone's change is never seen. Sequence: the list after the change has the digest of the one before.
        // Cause: a digest of 52 bits is taken for the list itself.
        const zone = createFakeZone();
        await useServiceFor(zone, 70_000);
        expect(zone.requests).to.have.length(3);
    });

    it("fetches when the contact stays silent, within the period of a refresh", async () => {
        // Symptom: a leaving target goes on getting work from other zones.
        // Sequence: the asked contact is dead, cut off or not ready, or the datagram is lost; a target leaves.
        // Cause: no news is taken for no change.
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.contactDigest = undefined;
        await useServiceFor(zone, 10_000);
        expect(zone.requests.length).to.be.within(5, 7);
    });

    it("fetches at once when a contact tells of another digest, and not in a storm", async () => {
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.remote.hearDigest({ sequence: 0, digest: NEW_DIGEST });
        await zone.clock.advance(100);
        expect(zone.requests).to.have.length(2);
        for (let round = 0; round < 20; round++) {
            zone.remote.hearDigest({ sequence: 0, digest: NEW_DIGEST });
            await zone.clock.advance(100);
        }
        expect(zone.requests.length).to.be.within(5, 7);
    });

    it("takes no late answer to an earlier question for the present state", async () => {
        // Symptom: a change is seen a period late, or never while answers come late.
        // Sequence: a contact's answer is sent before a change and arrives after the next question was asked.
        // Cause: any equal digest confirms, whenever it was sent.
        const zone = createFakeZone();
        await useServiceFor(zone, 1000);
        zone.contactDigest = undefined;
        while (zone.questions.length === 0) {
            await useServiceFor(zone, 100);
        }
        zone.remote.hearDigest({ sequence: zone.questions.length - 1, digest: OLD_DIGEST });
        await useServiceFor(zone, 400);
        expect(zone.requests).to.have.length(2);
    });

    it("fetches a service that comes into use while another fetch is under way or confirmed", async () => {
        // Symptom: requests for a service are refused for want of a target for half a minute.
        // Sequence: it is first called while the fetch for another one is under way, whose digest then is confirmed.
        // Cause: the digest stands for the zone, the lists only for the services that were asked for.
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

    it("goes on fetching after a failure although the old digest is confirmed", async () => {
        // Symptom: a change that was told is never fetched.
        // Sequence: a contact tells of a change; the fetch fails; another contact, which is behind, confirms the old.
        // Cause: the failed fetch is taken for done.
        const zone = createFakeZone();
        await useServiceFor(zone, 3000);
        zone.fetchedDigest = undefined;
        zone.remote.hearDigest({ sequence: 0, digest: NEW_DIGEST });
        await useServiceFor(zone, 1000);
        expect(zone.requests).to.have.length(2);
        zone.fetchedDigest = NEW_DIGEST;
        await useServiceFor(zone, 2000);
        expect(zone.requests).to.have.length(3);
    });
});
