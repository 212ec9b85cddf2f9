import { expect } from "chai";
import { createGate } from "oleandergap-gate";
import { createLogger } from "oleandergap-logger";
import type { Announcement, Limit, MemberTarget } from "oleandergap-types";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import {
    createLocalTargetManager,
    type LocalTargetManager,
    type LocalTargetManagerDependencies,
} from "../target/localTargetManager.js";
import { createAnnouncement, TEST_LIMIT } from "./support.js";

const HEARTBEAT_TIMEOUT_MS = 3000;
const TARGET_PORT = 17090;
/** A service without a row in any table. */
const UNKNOWN_SERVICE = "elsewhere";

interface Setup {
    readonly clock: ManualClock;
    readonly targetManager: LocalTargetManager;
    readonly published: (MemberTarget | undefined)[];
    readonly setLimit: (limit: Limit | undefined) => void;
}

const setUp = (departures?: LocalTargetManagerDependencies["departures"]): Setup => {
    const clock = createManualClock();
    const published: (MemberTarget | undefined)[] = [];
    let limit: Limit | undefined = TEST_LIMIT;
    const targetManager = createLocalTargetManager({
        clock,
        logger: createLogger("test"),
        publish: (target) => published.push(target),
        findLimit: ({ service }) => service === UNKNOWN_SERVICE ? undefined : limit,
        createGate: (initial, slots) => createGate({ clock, limit: initial, slots }),
        heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
        leavingQueueMs: 1000,
        slowStartMs: 10_000,
        ...departures === undefined ? {} : { departures },
    });
    return {
        clock,
        targetManager,
        published,
        setLimit: (next) => {
            limit = next;
        },
    };
};

const admitRequest = (targetManager: LocalTargetManager, clock: ManualClock): Promise<string> | undefined =>
    targetManager.current()?.gate.admit({
        partner: "halloway",
        service: "grant-filer",
        deadline: clock.monotonic() + 1000,
        signal: new AbortController().signal,
    }).then((admission) => admission._tag);

describe("createLocalTargetManager, for a target that states its departure in a response only", () => {
    const announcement = createAnnouncement(TARGET_PORT, { instanceId: "i-1", bornAt: 5 });
    const stateDeparture = ({ targetManager, clock }: Setup): void =>
        targetManager.current()?.feedback.record({ isLeaving: true }, clock.monotonic());

    it("refuses new requests and publishes that the target is leaving, although heartbeats say it is not", async () => {
        const setup = setUp();
        const { clock, targetManager, published } = setup;
        targetManager.announce(announcement);
        stateDeparture(setup);
        targetManager.announce(announcement);

        expect(await admitRequest(targetManager, clock)).to.equal("Left");
        expect(published.at(-1)).to.include({ leaving: true });
    });

    it("stays closed when the target comes back after its heartbeats were missing, until a new lifetime starts", async () => {
        const setup = setUp();
        const { clock, targetManager } = setup;
        targetManager.announce(announcement);
        stateDeparture(setup);
        await clock.advance(HEARTBEAT_TIMEOUT_MS);
        expect(targetManager.current()).to.equal(undefined);
        targetManager.announce(announcement);
        expect(await admitRequest(targetManager, clock)).to.equal("Left");

        targetManager.announce({ ...announcement, bornAt: 6 });
        expect(await admitRequest(targetManager, clock)).to.equal("Right");
    });
});

describe("createLocalTargetManager", () => {
    it("publishes a target once and keeps it while it sends heartbeats", async () => {
        const { clock, targetManager, published } = setUp();

        for (let heartbeat = 0; heartbeat < 10; heartbeat++) {
            targetManager.announce(createAnnouncement(TARGET_PORT));
            await clock.advance(1000);
        }

        expect(published).to.have.length(1);
        expect(published[0]).to.include({ service: "grant-filer", slots: 12, leaving: false });
    });

    // Guards against sending requests to a VM whose target was killed. Such a target cannot withdraw itself, so its
    // node must notice the missing heartbeats.
    it("removes a target without heartbeats", async () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));

        await clock.advance(HEARTBEAT_TIMEOUT_MS - 1);
        expect(targetManager.current()).not.to.equal(undefined);
        await clock.advance(1);

        expect(targetManager.current()).to.equal(undefined);
        expect(published.at(-1)).to.equal(undefined);
    });

    // Guards against removing healthy targets after a pause of the VM. If the node was frozen for longer than the
    // timeout, its timers fire before it reads the heartbeats that have arrived meanwhile.
    it("restarts the heartbeat timeout after a pause of this process", async () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));

        clock.freeze(10_000);
        await clock.advance(0);
        expect(targetManager.current()).not.to.equal(undefined);
        targetManager.announce(createAnnouncement(TARGET_PORT));
        await clock.advance(HEARTBEAT_TIMEOUT_MS - 1);

        expect(targetManager.current()).not.to.equal(undefined);
        expect(published).to.have.length(1);
    });

    it("lets a leaving target finish its requests and admits no new ones", async () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));
        expect(await admitRequest(targetManager, clock)).to.equal("Right");

        targetManager.announce(createAnnouncement(TARGET_PORT, { leaving: true }));

        expect(published.at(-1)).to.include({ leaving: true });
        expect(await admitRequest(targetManager, clock)).to.equal("Left");
        expect(targetManager.current()?.gate.load().inFlight).to.equal(1);
    });

    // Guards against undoing an operator's drain: the next heartbeat of the target states that it is not leaving, and
    // must not overwrite the drain.
    it("keeps a target drained while it sends heartbeats", async () => {
        const { clock, targetManager } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));

        expect(await targetManager.drain({ partner: "kushiro", service: "grant-filer" })).to.equal(false);
        expect(await targetManager.drain({ partner: "halloway", service: "grant-filer" })).to.equal(true);
        targetManager.announce(createAnnouncement(TARGET_PORT));

        expect(targetManager.current()?.leaving).to.equal(true);
        expect(await admitRequest(targetManager, clock)).to.equal("Left");
    });

    it("admits no requests without a row in the table, and applies the limit when a row appears", async () => {
        const { clock, targetManager, setLimit } = setUp();
        setLimit(undefined);
        targetManager.announce(createAnnouncement(TARGET_PORT));
        expect(await admitRequest(targetManager, clock)).to.equal("Left");

        setLimit({ ...TEST_LIMIT, concurrency: 1 });
        targetManager.refreshLimit();

        expect(targetManager.current()?.gate.load().capacity).to.equal(1);
        expect(await admitRequest(targetManager, clock)).to.equal("Right");
    });

    it("treats a new process on another port as a new target", async () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));
        await targetManager.drain({ partner: "halloway", service: "grant-filer" });

        targetManager.announce(createAnnouncement(TARGET_PORT + 1));

        expect(published.slice(-2)).to.have.length(2);
        expect(published.at(-2)).to.equal(undefined);
        expect(targetManager.current()?.leaving).to.equal(false);
        expect(await admitRequest(targetManager, clock)).to.equal("Right");
    });

    it("refuses requests that still wait a short time after their target started to leave", async () => {
        // Guards against losing a request that a target receives seconds after it has announced that it leaves. If
        // waiting requests stay in the queue until their deadline, a slot can become free after the target has ended.
        const { clock, targetManager, setLimit } = setUp();
        setLimit({ ...TEST_LIMIT, concurrency: 1 });
        targetManager.announce(createAnnouncement(TARGET_PORT));
        const gate = targetManager.current()?.gate;
        const signal = new AbortController().signal;
        const requestAdmission = (): ReturnType<NonNullable<typeof gate>["admit"]> | undefined => gate?.admit({
            partner: "halloway", service: "grant-filer", deadline: clock.monotonic() + 20_000, signal,
        });
        const running = await requestAdmission();
        const waiting = requestAdmission();
        targetManager.announce({ ...createAnnouncement(TARGET_PORT), leaving: true });
        await clock.advance(1001);
        expect(gate?.load()).to.include({ inFlight: 1, queued: 0 });
        expect(await waiting).to.deep.include({ _tag: "Left" });
        expect(running?._tag).to.equal("Right");
    });

    it("publishes an earlier start time for a target that is already warm", () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce({ ...createAnnouncement(TARGET_PORT), coldLeftMs: 0 });
        expect(published.at(-1)?.since).to.equal(clock.now() - 10_000);
    });

    it("replaces a target by a new lifetime at the same address", async () => {
        const { clock, targetManager, published } = setUp();
        targetManager.announce({ ...createAnnouncement(TARGET_PORT), instanceId: "first", sequence: 7 });
        const formerGate = targetManager.current()?.gate;
        targetManager.announce({ ...createAnnouncement(TARGET_PORT), instanceId: "second", sequence: 1 });
        expect(targetManager.current()?.announcement.instanceId).to.equal("second");
        expect(targetManager.current()?.gate).to.not.equal(formerGate);
        targetManager.withdraw("first");
        expect(targetManager.current()?.announcement.instanceId).to.equal("second");
        targetManager.withdraw("second");
        expect(published.at(-1)).to.equal(undefined);
        await clock.advance(0);
    });

    // Guards against aborting requests at the drain timeout although other targets have capacity. Requests that wait at
    // the gate of a slow target must be refused not only when the target leaves, but also when the node stops.
    it("refuses waiting requests when its node stops", async () => {
        const { clock, targetManager } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));
        const { signal } = new AbortController();
        const requestAdmission = async (): Promise<string | undefined> => {
            const admission = await targetManager.current()?.gate.admit({
                partner: "halloway", service: "grant-filer", deadline: clock.monotonic() + 60_000, signal,
            });
            return admission?._tag === "Left" && admission.left.kind === "Refused" ?
                admission.left.reason :
                admission?._tag;
        };
        const slots = createAnnouncement(TARGET_PORT).slots;
        const running = Array.from({ length: Math.min(slots, TEST_LIMIT.concurrency) }, requestAdmission);
        const waiting = requestAdmission();
        void targetManager.stop();
        await clock.advance(1001);
        expect(await Promise.all(running)).to.include("Right");
        expect(await waiting).to.equal("Draining");
    });

    it("creates a new gate for a target that restarts with the same instance id", () => {
        // Guards against a restarted target that receives fewer requests than it has slots. If it keeps the gate of its
        // former lifetime, that gate still counts the requests that were lost in the crash.
        const { targetManager, published } = setUp();
        const createLifetimeAnnouncement = (bornAt: number): Announcement =>
            ({ ...createAnnouncement(TARGET_PORT), instanceId: "first", bornAt });
        targetManager.announce({ ...createLifetimeAnnouncement(1000), sequence: 40 });
        const former = targetManager.current()?.gate;
        targetManager.announce({ ...createLifetimeAnnouncement(2000), sequence: 0 });

        expect(targetManager.current()?.gate).to.not.equal(former);
        expect(targetManager.current()?.announcement.bornAt).to.equal(2000);
        targetManager.withdraw("first", 1000);
        expect(published.at(-1)).to.not.equal(undefined);
    });

    it("keeps its target when an unknown service is announced", () => {
        // Guards against a healthy target that receives no requests. Another sender may announce a service that is not
        // in any table, and that announcement must not replace the current target.
        const { targetManager } = setUp();
        targetManager.announce(createAnnouncement(TARGET_PORT));
        targetManager.announce({ ...createAnnouncement(TARGET_PORT + 1), service: UNKNOWN_SERVICE });

        expect(targetManager.current()?.announcement.port).to.equal(TARGET_PORT);
    });
});

describe("createLocalTargetManager, with departures that outlast the process", () => {
    const announcement = createAnnouncement(TARGET_PORT, { instanceId: "i-1", bornAt: 5, sequence: 7 });

    const setUpStored = (): Setup & { readonly recorded: (string | undefined)[] } => {
        const recorded: (string | undefined)[] = [];
        const setup = setUp({
            record: (departure) => {
                recorded.push(departure.kind === "Left" ? departure.lifetime.instanceId : departure.kind);
                return Promise.resolve(false);
            },
        });
        return { ...setup, recorded };
    };

    it("accepts a target only once the departures from before the start are known", () => {
        const { targetManager } = setUpStored();
        targetManager.announce(announcement);
        expect(targetManager.current()).to.equal(undefined);
        targetManager.acceptTargets();
        expect(targetManager.current()?.leaving).to.equal(false);
    });

    it("closes a target whose departure is found late", () => {
        const { targetManager } = setUpStored();
        targetManager.acceptTargets();
        targetManager.announce(announcement);
        targetManager.restoreDepartures([{ kind: "Left", instanceId: "i-1", bornAt: 5, recordedAt: 1 }]);
        expect(targetManager.current()?.leaving).to.equal(true);
    });

    it("replaces no target by an earlier one that has left", () => {
        const { targetManager } = setUpStored();
        targetManager.restoreDepartures([{ kind: "Left", instanceId: "i-1", bornAt: 5, recordedAt: 1 }]);
        targetManager.acceptTargets();
        targetManager.announce({ ...announcement, instanceId: "i-2" });
        targetManager.announce(announcement);
        expect(targetManager.current()?.announcement.instanceId).to.equal("i-2");
        expect(targetManager.current()?.leaving).to.equal(false);
    });

    it("stores a departure that is announced while its node stops", async () => {
        const { targetManager, recorded } = setUpStored();
        targetManager.acceptTargets();
        targetManager.announce(announcement);
        expect(await targetManager.confirm(announcement)).to.equal(true);
        void targetManager.stop();
        targetManager.announce({ ...announcement, leaving: true, sequence: 8 });
        expect(recorded).to.include("i-1");
        expect(await targetManager.confirm(announcement)).to.equal(false);
    });

    it("stores a departure by withdrawal with the start time that the target has announced", async () => {
        const { targetManager } = setUpStored();
        targetManager.acceptTargets();
        targetManager.announce(announcement);
        targetManager.withdraw("i-1");
        expect(await targetManager.confirm({ instanceId: "i-1" })).to.equal(false);
        targetManager.announce({ ...announcement, bornAt: 6, sequence: 1 });
        expect(targetManager.current()?.leaving).to.equal(false);
    });

    it("keeps a target drained by an operator after a restart, until it is withdrawn", async () => {
        const { partner, service, port, instanceId, bornAt } = announcement;
        const { targetManager, recorded } = setUpStored();
        const target = { partner, service, port, instanceId, bornAt };
        targetManager.restoreDepartures([{ kind: "Drained", target, recordedAt: 1 }]);
        targetManager.acceptTargets();
        targetManager.announce(announcement);
        expect(targetManager.current()?.leaving).to.equal(true);

        targetManager.withdraw();
        expect(recorded.at(-1)).to.equal("DrainEnded");
        targetManager.announce({ ...announcement, sequence: 8 });
        expect(targetManager.current()?.leaving).to.equal(false);
        expect(await targetManager.drain(announcement)).to.equal(true);
        expect(recorded.at(-1)).to.equal("Drained");
    });
});
