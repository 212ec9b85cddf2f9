import { expect } from "chai";
import { computeFingerprint, fingerprintSchema, type FingerprintedRequest } from "../fingerprint.js";

const request: FingerprintedRequest = {
    method: "GET",
    host: "files.example",
    path: "/wills/7?page=2",
    bodyLength: 3,
    bodyStart: Buffer.from("abc"),
};

describe("computeFingerprint", () => {
    it("gives equal requests one name of sixteen characters, whatever the case of the host", () => {
        const name = computeFingerprint(request);

        expect(fingerprintSchema.safeParse(name).success).to.equal(true);
        expect(computeFingerprint({ ...request, host: "Files.Example" })).to.equal(name);
    });

    it("tells requests apart that differ in one part", () => {
        const others: readonly Partial<FingerprintedRequest>[] = [
            { method: "POST" },
            { host: "other.example" },
            { path: "/wills/7?page=3" },
            { bodyLength: 4 },
            { bodyLength: undefined },
            { bodyStart: Buffer.from("abd") },
        ];
        const names = others.map((other) => computeFingerprint({ ...request, ...other }));

        expect(new Set([computeFingerprint(request), ...names]).size).to.equal(others.length + 1);
    });
});
