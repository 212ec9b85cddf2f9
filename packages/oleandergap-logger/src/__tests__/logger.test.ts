import { expect } from "chai";
import { createLogger, startLogging } from "../index.js";

describe("createLogger", () => {
    const lines: string[] = [];

    beforeEach(() => {
        lines.length = 0;
    });

    afterEach(() => {
        startLogging("silent");
    });

    it("writes the prefix of the component and the context, and keeps percent signs", () => {
        startLogging("info", (line) => lines.push(line));
        createLogger("gate").warn("Load is 100%.", { inFlight: 3 });
        const line: unknown = JSON.parse(lines[0] ?? "{}");
        expect(line).to.have.property("message", "gate: Load is 100%.");
        expect(line).to.have.nested.property("context.inFlight", 3);
    });

    it("drops lines below the minimum level", () => {
        startLogging("warn", (line) => lines.push(line));
        createLogger("gate").info("Quiet.");
        expect(lines).to.deep.equal([]);
    });
});
