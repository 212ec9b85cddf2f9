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
    it("returns the same sixteen characters for equal requests, ignoring the case of the host", () => {
        const fingerprint = computeFingerprint(request);

        expect(fingerprintSchema.safeParse(fingerprint).success).to.equal(true);
        expect(computeFingerprint({ ...request, host: "Files.Example" })).to.equal(fingerprint);
    });

    it("returns different fingerprints for requests that differ in one part", () => {
        const differences: readonly Partial<FingerprintedRequest>[] = [
            { method: "POST" },
            { host: "other.example" },
            { path: "/wills/7?page=3" },
            { bodyLength: 4 },
            { bodyLength: undefined },
            { bodyStart: Buffer.from("abd") },
        ];
        const fingerprints = differences.map((difference) => computeFingerprint({ ...request, ...difference }));

        expect(new Set([computeFingerprint(request), ...fingerprints]).size).to.equal(differences.length + 1);
    });
});
