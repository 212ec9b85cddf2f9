import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { defaultDistributionOptions, type PeerDirectoryPort } from "oleandergap-distribution";
import type { Contact } from "oleandergap-membership";
import { createManualClock, startTimeLimit } from "oleandergap-utils";
import { createZoneFetcher } from "../control/zoneFetcher.js";

const { timeoutMs } = defaultDistributionOptions.peer;
/** Default timeout of a fetch by the target directory. */
const FETCH_TIMEOUT_MS = 1500;
const ZONE_RESPONSE = { services: [] };

const createContact = (id: string): Contact => ({ id, zone: "zone-1", address: "127.0.0.1", controlPort: 1024 });

describe("createZoneFetcher", () => {
    // Guards against waiting for unresponsive contacts one after the other although another contact would respond.
    it("fetches another zone's targets within the timeout although two contacts are unresponsive", async () => {
        const clock = createManualClock();
        const zoneTargets: PeerDirectoryPort["zoneTargets"] = ({ id }, _request, signal) => async () => {
            if (id === "quick" && !signal.aborted) {
                return either.right(ZONE_RESPONSE);
            }
            await clock.sleep(timeoutMs, signal);
            return either.left({ kind: "Cancelled" });
        };
        const contacts = ["silent-1", "silent-2", "quick"].map(createContact);
        const fetch = createZoneFetcher({ clock, contactsOf: () => contacts, peers: { zoneTargets } });
        const limit = startTimeLimit(clock, FETCH_TIMEOUT_MS);
        const response = fetch("zone-1", { zone: "zone-1", services: [] }, limit.signal)();
        await clock.advance(FETCH_TIMEOUT_MS);
        expect(await response).to.deep.equal(either.right(ZONE_RESPONSE));
    });
});
