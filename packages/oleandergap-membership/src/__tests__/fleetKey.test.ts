import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createPeerAuthorization, isPeerAuthorized, parseFleetKeys } from "../index.js";
import { parseKeys, NEW_KEY, OLD_KEY } from "./testKeys.js";

const localEndpoint = { address: "10.0.0.1", port: 17_082 };

describe("parseFleetKeys", () => {
    it("rejects a missing key, a short key and more than two keys, and does not reveal any of them", () => {
        for (const text of ["", " \n", "short-and-guessable", `${OLD_KEY}\nshort-and-guessable`, `${OLD_KEY}\n${NEW_KEY}\n${OLD_KEY}`]) {
            const keys = parseFleetKeys(text);

            expect(either.isLeft(keys) && keys.left.kind, text).to.equal("BadFleetKey");
            expect(JSON.stringify(keys)).not.to.match(/guessable|old-key|new-key/);
        }
    });
});

describe("isPeerAuthorized", () => {
    it("accepts authorizations created for this node with any accepted key", () => {
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

    it("accepts every notation of the same IPv6 address", () => {
        const authorization = createPeerAuthorization(parseKeys(NEW_KEY), { address: "fd00:0:0:0:0:0:0:1", port: 1 });

        expect(isPeerAuthorized(parseKeys(NEW_KEY), { address: "fd00::1", port: 1 }, authorization)).to.equal(true);
    });

    it("rejects all other authorizations, including the key itself and an authorization for another node", () => {
        // Guards against an attacker who tricks a node into calling the attacker's address and reuses the received
        // header to drain a target at another node. An authorization must therefore be valid for one address only.
        const otherNodeHeader = createPeerAuthorization(parseKeys(NEW_KEY), { ...localEndpoint, port: 9 });
        const validHeader = createPeerAuthorization(parseKeys(NEW_KEY), localEndpoint);
        for (const invalidHeader of [
            undefined,
            "",
            "Bearer ",
            `Bearer ${NEW_KEY}`,
            otherNodeHeader,
            validHeader.slice(0, -2),
            `${validHeader}AA`,
        ]) {
            expect(isPeerAuthorized(parseKeys(NEW_KEY), localEndpoint, invalidHeader), String(invalidHeader))
                .to.equal(false);
        }
    });
});
