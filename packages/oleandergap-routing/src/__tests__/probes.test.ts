import { expect } from "chai";
import { createSeededRandom } from "oleandergap-utils";
import { createCircuit, isProbeDue, openCircuit, startProbe } from "../circuit.js";

const BACKOFF = { ejectionMs: 1000, maximumEjectionMs: 30_000 };

describe("probes of an ejected target", () => {
    // Symptom: in the cut of an availability zone, one node sends up to 150 requests a second to targets behind the
    //   cut, beside free ones nearby, until their callers leave.
    // Sequence: the zone's targets are ejected; the zone counts as reached again, and back-offs are cut short to
    //   nothing, so that the targets are probed at once; the probes get no answer.
    // Cause: a probe gave way to the next one after twice the back-off, which was nothing: each request was a probe.
    it("go out one at a time, also after a back-off that was cut short", () => {
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
