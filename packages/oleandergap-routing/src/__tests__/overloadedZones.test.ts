import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createTargetPicker, defaultRoutingOptions } from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const ZONES = ["hall-a", "hall-b", "hall-c"];
const SERVICE_MS = 100;
const STEP_MS = 5;
const DURATION_MS = 6000;

interface SimulationResult {
    /** Share of the requests that were served in the zone of their caller. */
    readonly keptShare: number;
    /** Share of all requests that the most loaded target received. */
    readonly largestShare: number;
}

/**
 * Simulates one gateway and one target per zone, each target with ten slots and a first-in-first-out queue. `rates` are
 * the request rates of the zones as multiples of the capacity of one target.
 */
const simulate = async (rates: readonly number[], nearAdvantage: number): Promise<SimulationResult> => {
    const clock = createManualClock();
    const row = { ...createRow({}), placement: "load" as const };
    const targets = ZONES.flatMap((zone) => createTargets(zone, 1));
    const options = { ...defaultRoutingOptions.picker, nearAdvantage };
    const pickers = ZONES.map((localZone, index) =>
        createTargetPicker({ localZone, clock, random: createSeededRandom(index + 1), options }));
    const states = new Map(targets.map(({ nodeId, slots }) =>
        [nodeId, { slots, inFlight: 0, freeAt: [] as number[] }]));
    const served = new Map<string, number>();
    let keptRequests = 0;
    let totalRequests = 0;

    const sendRequest = async (zoneIndex: number): Promise<void> => {
        const pick = pickers[zoneIndex]?.pick({ service: testService, row, targets, exclude: [], canResend: true });
        const state = pick && states.get(pick.target.nodeId);
        if (pick === undefined || state === undefined) {
            return;
        }
        totalRequests += 1;
        keptRequests += pick.target.zone === ZONES[zoneIndex] ? 1 : 0;
        served.set(pick.target.nodeId, (served.get(pick.target.nodeId) ?? 0) + 1);
        state.inFlight += 1;
        const now = clock.monotonic();
        state.freeAt = state.freeAt.filter((time) => time > now).sort((left, right) => left - right);
        const isFull = state.freeAt.length >= state.slots;
        const startAt = isFull ? state.freeAt[state.freeAt.length - state.slots] ?? now : now;
        state.freeAt.push(startAt + SERVICE_MS);
        await clock.sleep(startAt + SERVICE_MS - now, new AbortController().signal);
        state.inFlight -= 1;
        const running = Math.min(state.inFlight, state.slots);
        const load = {
            inFlight: running,
            queued: state.inFlight - running,
            capacity: state.slots,
            expectedWaitMs: 0,
        };
        pick.report({ kind: "Answered", latencyMs: clock.monotonic() - now }, load);
    };

    const dueRequests = rates.map(() => 0);
    for (let time = 0; time < DURATION_MS; time += STEP_MS) {
        for (const [index, rate] of rates.entries()) {
            for (
                dueRequests[index] = (dueRequests[index] ?? 0) + (rate * 10 * STEP_MS) / SERVICE_MS;
                (dueRequests[index] ?? 0) >= 1;
            ) {
                dueRequests[index] = (dueRequests[index] ?? 0) - 1;
                void sendRequest(index);
            }
        }
        await clock.advance(STEP_MS);
    }
    return { keptShare: keptRequests / totalRequests, largestShare: Math.max(...served.values()) / totalRequests };
};

describe("overloaded zones with placement by load", () => {
    // Guards against nearly every request crossing availability zones under load. When no target has a free slot,
    // sampling from all targets would ignore the zone of the caller.
    it("keeps more requests in the zone of their caller when all zones are overloaded", async () => {
        const withoutPreference = await simulate([1.1, 1.1, 1.1], 1);
        const withPreference = await simulate([1.1, 1.1, 1.1], defaultRoutingOptions.picker.nearAdvantage);
        expect(withPreference.keptShare).to.be.above(withoutPreference.keptShare + 0.1);
        expect(withPreference.largestShare).to.be.below(0.4);
    });

    it("spreads the load of a zone that receives twice its capacity", async () => {
        const skewed = await simulate([2, 0.5, 0.5], defaultRoutingOptions.picker.nearAdvantage);
        expect(skewed.largestShare).to.be.below(0.42);
    });
});
