import { expect } from "chai";
import { createSeededRandom } from "oleandergap-utils";
import { createCircuit, isProbeDue, openCircuit, startProbe } from "../circuit.js";

const BACKOFF = { ejectionMs: 1000, maximumEjectionMs: 30_000 };

describe("probes of an ejected target", () => {
    // Guards against up to 150 requests per second to unreachable targets. When a zone counts as reachable again,
    // backoffs are shortened to 0. If a probe expired after twice its backoff, every request would be a probe.
    it("are sent one at a time, even after the backoff was shortened to 0", () => {
        const circuit = createCircuit();
        openCircuit(circuit, 0, BACKOFF, createSeededRandom(1));
        circuit.probeAt = 0;
        circuit.backoffMs = 0;
        let probes = 0;
        for (let now = 0; now < 1000; now += 10) {
            if (isProbeDue(circuit, now, true)) {
                startProbe(circuit, now);
                probes += 1;
            }
        }
        expect(probes).to.equal(2);
    });
});
