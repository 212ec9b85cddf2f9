import { expect } from "chai";
import { createGate } from "oleandergap-gate";
import { createLogger } from "oleandergap-logger";
import type { Announcement, Limit, MemberTarget } from "oleandergap-types";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createTargetKeeper, type TargetKeeper } from "../target/targetKeeper.js";
import { createAnnouncement, TEST_LIMIT } from "./support.js";

const HEARTBEAT_TIMEOUT_MS = 3000;
const TARGET_PORT = 17090;
/** No table has a row of it. */
const UNKNOWN_SERVICE = "elsewhere";

interface Setup {
    readonly clock: ManualClock;
    readonly keeper: TargetKeeper;
    readonly published: (MemberTarget | undefined)[];
    readonly setLimit: (limit: Limit | undefined) => void;
}

const setUp = (): Setup => {
    const clock = createManualClock();
    const published: (MemberTarget | undefined)[] = [];
    let limit: Limit | undefined = TEST_LIMIT;
    const keeper = createTargetKeeper({
        clock,
        logger: createLogger("test"),
        publish: (target) => published.push(target),
        limitOf: ({ service }) => service === UNKNOWN_SERVICE ? undefined : limit,
        createGate: (initial, slots) => createGate({ clock, limit: initial, slots }),
        heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
        leavingQueueMs: 1000,
        slowStartMs: 10_000,
    });
    return {
        clock,
        keeper,
        published,
        setLimit: (next) => {
            limit = next;
        },
    };
};

const admit = (keeper: TargetKeeper, clock: ManualClock): Promise<string> | undefined =>
    keeper.current()?.gate.admit({
        partner: "halloway",
        service: "grant-filer",
        deadline: clock.monotonic() + 1000,
        signal: new AbortController().signal,
    }).then((admission) => admission._tag);

describe("createTargetKeeper", () => {
    it("publishes a target once and keeps it while it repeats its announcement", async () => {
        const { clock, keeper, published } = setUp();

        for (let heartbeat = 0; heartbeat < 10; heartbeat++) {
            keeper.announce(createAnnouncement(TARGET_PORT));
            await clock.advance(1000);
        }

        expect(published).to.have.length(1);
        expect(published[0]).to.include({ service: "grant-filer", slots: 12, leaving: false });
    });

    // Symptom: requests go on to a VM whose target is dead.
    // Sequence: the target is killed and cannot say goodbye; its node still lists it.
    // Cause: nobody notices that the heartbeats have stopped.
    it("withdraws a target that stays away", async () => {
        const { clock, keeper, published } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));

        await clock.advance(HEARTBEAT_TIMEOUT_MS - 1);
        expect(keeper.current()).not.to.equal(undefined);
        await clock.advance(1);

        expect(keeper.current()).to.equal(undefined);
        expect(published.at(-1)).to.equal(undefined);
    });

    // Symptom: after a pause of the VM the whole fleet sees targets come and go.
    // Sequence: the node is frozen for longer than the timeout; its timers fire before it reads the heartbeats.
    // Cause: the node blames the target for its own pause.
    it("gives the target as much time again after a pause of this process", async () => {
        const { clock, keeper, published } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));

        clock.freeze(10_000);
        await clock.advance(0);
        expect(keeper.current()).not.to.equal(undefined);
        keeper.announce(createAnnouncement(TARGET_PORT));
        await clock.advance(HEARTBEAT_TIMEOUT_MS - 1);

        expect(keeper.current()).not.to.equal(undefined);
        expect(published).to.have.length(1);
    });

    it("lets a leaving target finish and admits nothing new", async () => {
        const { clock, keeper, published } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));
        expect(await admit(keeper, clock)).to.equal("Right");

        keeper.announce(createAnnouncement(TARGET_PORT, { leaving: true }));

        expect(published.at(-1)).to.include({ leaving: true });
        expect(await admit(keeper, clock)).to.equal("Left");
        expect(keeper.current()?.gate.load().inFlight).to.equal(1);
    });

    // Symptom: an operator drains a target, and a second later it receives requests again.
    // Sequence: the drain is noted, then the target's next heartbeat says that it is not leaving.
    // Cause: the heartbeat overwrites the operator's order.
    it("keeps a target drained that goes on announcing itself", async () => {
        const { clock, keeper } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));

        expect(keeper.drain({ partner: "kushiro", service: "grant-filer" })).to.equal(false);
        expect(keeper.drain({ partner: "halloway", service: "grant-filer" })).to.equal(true);
        keeper.announce(createAnnouncement(TARGET_PORT));

        expect(keeper.current()?.leaving).to.equal(true);
        expect(await admit(keeper, clock)).to.equal("Left");
    });

    it("admits nothing while the table has no row, and everything the row allows once it has", async () => {
        const { clock, keeper, setLimit } = setUp();
        setLimit(undefined);
        keeper.announce(createAnnouncement(TARGET_PORT));
        expect(await admit(keeper, clock)).to.equal("Left");

        setLimit({ ...TEST_LIMIT, concurrency: 1 });
        keeper.refreshLimit();

        expect(keeper.current()?.gate.load().capacity).to.equal(1);
        expect(await admit(keeper, clock)).to.equal("Right");
    });

    it("takes a new process on another port for a new target", async () => {
        const { clock, keeper, published } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));
        keeper.drain({ partner: "halloway", service: "grant-filer" });

        keeper.announce(createAnnouncement(TARGET_PORT + 1));

        expect(published.slice(-2)).to.have.length(2);
        expect(published.at(-2)).to.equal(undefined);
        expect(keeper.current()?.leaving).to.equal(false);
        expect(await admit(keeper, clock)).to.equal("Right");
    });

    it("refuses what still waits a short time after its target began to leave", async () => {
        // Symptom: a target receives a request seconds after it announced its end, and the request is lost.
        // Sequence: all slots are taken and a request waits; the target leaves; a slot becomes free seconds later.
        // Cause: what waited at the time of the announcement keeps its place for as long as its deadline allows.
        const { clock, keeper, setLimit } = setUp();
        setLimit({ ...TEST_LIMIT, concurrency: 1 });
        keeper.announce(createAnnouncement(TARGET_PORT));
        const gate = keeper.current()?.gate;
        const signal = new AbortController().signal;
        const ask = (): ReturnType<NonNullable<typeof gate>["admit"]> | undefined => gate?.admit({
            partner: "halloway", service: "grant-filer", deadline: clock.monotonic() + 20_000, signal,
        });
        const running = await ask();
        const waiting = ask();
        keeper.announce({ ...createAnnouncement(TARGET_PORT), leaving: true });
        await clock.advance(1001);
        expect(gate?.load()).to.include({ inFlight: 1, queued: 0 });
        expect(await waiting).to.deep.include({ _tag: "Left" });
        expect(running?._tag).to.equal("Right");
    });

    it("takes a target that is warm for an old one", () => {
        const { clock, keeper, published } = setUp();
        keeper.announce({ ...createAnnouncement(TARGET_PORT), coldLeftMs: 0 });
        expect(published.at(-1)?.since).to.equal(clock.now() - 10_000);
    });

    it("puts a new lifetime at the same address in the place of the old one", async () => {
        const { clock, keeper, published } = setUp();
        keeper.announce({ ...createAnnouncement(TARGET_PORT), instanceId: "first", sequence: 7 });
        const old = keeper.current()?.gate;
        keeper.announce({ ...createAnnouncement(TARGET_PORT), instanceId: "second", sequence: 1 });
        expect(keeper.current()?.announcement.instanceId).to.equal("second");
        expect(keeper.current()?.gate).to.not.equal(old);
        keeper.withdraw("first");
        expect(keeper.current()?.announcement.instanceId).to.equal("second");
        keeper.withdraw("second");
        expect(published.at(-1)).to.equal(undefined);
        await clock.advance(0);
    });

    // Symptom: requests are given up at the end of a node's time for draining, although other targets have room.
    // Sequence: requests wait at a gate whose target is slow; its node is told to stop; they go on waiting there.
    // Cause: what waits was told to go elsewhere when the target leaves, and not when the node does.
    it("sends what waits elsewhere when its node stops", async () => {
        const { clock, keeper } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));
        const { signal } = new AbortController();
        const ask = async (): Promise<string | undefined> => {
            const admission = await keeper.current()?.gate.admit({
                partner: "halloway", service: "grant-filer", deadline: clock.monotonic() + 60_000, signal,
            });
            return admission?._tag === "Left" && admission.left.kind === "Refused" ?
                admission.left.reason :
                admission?._tag;
        };
        const slots = createAnnouncement(TARGET_PORT).slots;
        const running = Array.from({ length: Math.min(slots, TEST_LIMIT.concurrency) }, ask);
        const waiting = ask();
        void keeper.stop();
        await clock.advance(1001);
        expect(await Promise.all(running)).to.include("Right");
        expect(await waiting).to.equal("Draining");
    });

    it("starts a new gate for a target that started again under its name", () => {
        // Symptom: a restarted target gets fewer requests than it has slots.
        // Sequence: a target crashes with requests under way and starts again under the same name.
        // Cause: the gate of its former life still counted what was lost with it.
        const { keeper, published } = setUp();
        const inLife = (bornAt: number): Announcement =>
            ({ ...createAnnouncement(TARGET_PORT), instanceId: "first", bornAt });
        keeper.announce({ ...inLife(1000), sequence: 40 });
        const former = keeper.current()?.gate;
        keeper.announce({ ...inLife(2000), sequence: 0 });

        expect(keeper.current()?.gate).to.not.equal(former);
        expect(keeper.current()?.announcement.bornAt).to.equal(2000);
        keeper.withdraw("first", 1000);
        expect(published.at(-1)).to.not.equal(undefined);
    });

    it("keeps its target when an unknown service is announced", () => {
        // Symptom: a target that is well receives no requests any more.
        // Sequence: another writer sends an announcement of a service that no table names.
        // Cause: whatever was announced last took the place of the present target.
        const { keeper } = setUp();
        keeper.announce(createAnnouncement(TARGET_PORT));
        keeper.announce({ ...createAnnouncement(TARGET_PORT + 1), service: UNKNOWN_SERVICE });

        expect(keeper.current()?.announcement.port).to.equal(TARGET_PORT);
    });
});
