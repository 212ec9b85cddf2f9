import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import * as fc from "fast-check";
import { parseIdempotencyKey, readKeyTime } from "../index.js";

describe("parseIdempotencyKey", () => {
    it("parses the unquoted and the quoted form to the same key", () => {
        expect(parseIdempotencyKey("\"lodgement-1\"")).to.deep.equal(parseIdempotencyKey("lodgement-1"));
    });

    it("accepts no key that could form the row key of another claim", () => {
        fc.assert(fc.property(fc.string({ unit: "binary" }), (text) => {
            const key = parseIdempotencyKey(text);
            expect(either.isLeft(key) || /^[^/\s"]{8,128}$/.test(key.right)).to.equal(true);
        }));
        expect(either.isLeft(parseIdempotencyKey("lodgement/1"))).to.equal(true);
        expect(either.isLeft(parseIdempotencyKey("short"))).to.equal(true);
        expect(either.isLeft(parseIdempotencyKey("k".repeat(129)))).to.equal(true);
    });
});

describe("readKeyTime", () => {
    it("returns the time of a UUIDv7 key and undefined for other keys", () => {
        fc.assert(fc.property(fc.uuid({ version: 7 }), (key) => {
            expect(readKeyTime(key)).to.equal(Number.parseInt(key.replaceAll("-", "").slice(0, 12), 16));
        }));
        fc.assert(fc.property(fc.uuid({ version: 4 }), (key) => {
            expect(readKeyTime(key)).to.equal(undefined);
        }));
    });
});
