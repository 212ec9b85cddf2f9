import { expect } from "chai";
import { listNeighbours } from "../neighbours.js";

const addressesOf = (address: string, span: number): readonly string[] =>
    listNeighbours({ address, controlPort: 7660 }, span).map((endpoint) => endpoint.address);

describe("listNeighbours", () => {
    it("lists the addresses on both sides with the local port", () => {
        expect(listNeighbours({ address: "10.1.0.8", controlPort: 7660 }, 1)).to.deep.equal([
            { address: "10.1.0.7", port: 7660 },
            { address: "10.1.0.9", port: 7660 },
        ]);
    });

    it("changes only the last octet and excludes its first and last address", () => {
        expect(addressesOf("10.1.0.2", 3)).to.deep.equal(["10.1.0.1", "10.1.0.3", "10.1.0.4", "10.1.0.5"]);
        expect(addressesOf("200.1.0.254", 2)).to.deep.equal(["200.1.0.252", "200.1.0.253"]);
    });

    it("returns no addresses if the span is 0 or the address is not IPv4", () => {
        expect(addressesOf("10.1.0.8", 0)).to.deep.equal([]);
        expect(addressesOf("fd00::8", 4)).to.deep.equal([]);
    });
});
