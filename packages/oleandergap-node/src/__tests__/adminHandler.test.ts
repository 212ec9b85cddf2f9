import { expect } from "chai";
import { createLogger } from "oleandergap-logger";
import { createManualClock } from "oleandergap-utils";
import { createAdminHandler } from "../admin/adminHandler.js";
import {
    createAnnouncement,
    createCleanup,
    sendHttpRequest,
    startGate,
    startTestListener,
} from "./support.js";

describe("createAdminHandler", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    it("shows the request limit and the departure that the target has stated", async () => {
        const clock = createManualClock();
        const { targetManager } = await startGate(cleanup.add, { clock });
        const { port } = await startTestListener(cleanup.add, clock, createAdminHandler({
            target: targetManager,
            readiness: () => ({ ready: true, reasons: [] }),
            readMetrics: () => Promise.resolve({ contentType: "text/plain", body: "" }),
            logger: createLogger("test"),
        }));
        const readTarget = async (): Promise<unknown> =>
            JSON.parse((await sendHttpRequest({ port, path: "/v1/target" })).body.toString());

        expect(await readTarget()).to.deep.equal({ announced: false });
        targetManager.announce(createAnnouncement(17090, { instanceId: "i-1" }));
        expect(await readTarget()).to.include({ announced: true, leaving: false }).and.not.to.have.property("requestLimit");
        targetManager.current()?.feedback.record({ requestLimit: 2.5, isLeaving: true }, clock.monotonic());
        expect(await readTarget()).to.include({ announced: true, leaving: true, requestLimit: 2.5 });
    });
});
