import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createPeerAuthorization, isPeerAuthorized, parseFleetKeys } from "../index.js";
import { parseKeys, NEW_KEY, OLD_KEY } from "./testKeys.js";

const localEndpoint = { address: "10.0.0.1", port: 17_082 };

describe("parseFleetKeys", () => {
    it("refuses no key, a short one and more than two, and shows none of them", () => {
        for (const text of ["", " \n", "short-and-guessable", `${OLD_KEY}\nshort-and-guessable`, `${OLD_KEY}\n${NEW_KEY}\n${OLD_KEY}`]) {
            const keys = parseFleetKeys(text);

            expect(either.isLeft(keys) && keys.left.kind, text).to.equal("BadFleetKey");
            expect(JSON.stringify(keys)).not.to.match(/guessable|old-key|new-key/);
        }
    });
});

describe("isPeerAuthorized", () => {
    it("accepts what each accepted key makes for this node", () => {
        const keys = parseKeys(NEW_KEY, OLD_KEY);

        expect(isPeerAuthorized(keys, localEndpoint, createPeerAuthorization(parseKeys(NEW_KEY), localEndpoint)))
            .to.equal(true);
        expect(isPeerAuthorized(keys, localEndpoint, createPeerAuthorization(parseKeys(OLD_KEY), localEndpoint)))
            .to.equal(true);
        expect(isPeerAuthorized(
            parseKeys(NEW_KEY),
            localEndpoint,
            createPeerAuthorization(parseKeys(OLD_KEY), localEndpoint),
        )).to.equal(false);
    });

    it("takes an IPv6 address for the same in each spelling", () => {
        const authorization = createPeerAuthorization(parseKeys(NEW_KEY), { address: "fd00:0:0:0:0:0:0:1", port: 1 });

        expect(isPeerAuthorized(parseKeys(NEW_KEY), { address: "fd00::1", port: 1 }, authorization)).to.equal(true);
    });

    it("refuses everything else, the key itself and what holds for another node included", () => {
        // Symptom: a stranger drains a target.
        // Sequence: a node is lured into a call to the stranger's address, who passes the received header on.
        // Cause: what proves a node to one address proves it to all.
        const otherNodeAuthorization = createPeerAuthorization(parseKeys(NEW_KEY), { ...localEndpoint, port: 9 });
        const validAuthorization = createPeerAuthorization(parseKeys(NEW_KEY), localEndpoint);
        for (const invalidAuthorization of [
            undefined,
            "",
            "Bearer ",
            `Bearer ${NEW_KEY}`,
            otherNodeAuthorization,
            validAuthorization.slice(0, -2),
            `${validAuthorization}AA`,
        ]) {
            expect(isPeerAuthorized(parseKeys(NEW_KEY), localEndpoint, invalidAuthorization), String(invalidAuthorization))
                .to.equal(false);
        }
    });
});
