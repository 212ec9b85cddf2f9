// Guards against nodes that refuse an accepted version because of its size. Requests to new routes would then receive
// the status 404, with this and all later versions. This happens if the limit of 18,000 cells is checked again on
// activation: nodes would refuse the 20,509 cells of 2,560 routes, but not the table of 1,600 routes.
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Cells } from "oleandergap-types";
import { createConfigurationStore } from "../store/configurationStore.js";
import { createDocument } from "../version/document.js";

const PARTNER = "halloway";

const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

const createRouteCells = (number: number): Cells => {
    const row = `routes/r-${number}`;
    return {
        [`${row}/host`]: `h${number}.example`,
        [`${row}/prefix`]: `/p${number}/`,
        [`${row}/kind`]: "safe",
        [`${row}/maxAttempts`]: 2,
        [`${row}/timeoutMs`]: 2_500,
        [`${row}/targetLatencyMs`]: 600,
        [`${row}/priority`]: 2,
        [`${row}/services/desk`]: 1,
    };
};

const createTableCells = (routes: number): Cells => Object.assign({
    "zones/east/enabled": 1,
    "limits/desk/concurrency": 100,
    "limits/desk/queue": 500,
    "limits/desk/timeoutMs": 2_500,
    "limits/desk/retryRatio": 0.1,
    "services/desk/limit": "desk",
    "services/desk/placement": "load",
}, ...Array.from({ length: routes }, (_, number) => createRouteCells(number))) as Cells;

describe("createConfigurationStore with large versions", () => {
    it("refuses a damaged document that differs from the active version in one cell", () => {
        const store = createConfigurationStore({ partners: [PARTNER], logger: silentLogger, deltaHistory: 16 });
        const cells = createTableCells(3);
        store.offerDocument(createDocument(PARTNER, 8, cells));
        const whole = createDocument(PARTNER, 9, { ...cells, "routes/r-1/priority": 3 });
        const damaged = { ...whole, cells: { ...whole.cells, "routes/r-2/priority": 3 } };
        expect(store.offerDocument(damaged)).to.have.nested.property("left.kind", "DigestMismatch");
        expect(either.isRight(store.offerDocument(whole))).to.equal(true);
        expect(store.document(PARTNER).digest).to.equal(whole.digest);
    });

    it("activates an accepted version regardless of its size", () => {
        const store = createConfigurationStore({ partners: [PARTNER], logger: silentLogger, deltaHistory: 16 });
        store.offerDocument(createDocument(PARTNER, 8, createTableCells(1_600)));
        expect(store.heads()[0]?.sequence).to.equal(8);
        const outcome = store.offerDocument(createDocument(PARTNER, 12, createTableCells(4_000)));
        expect(either.isRight(outcome)).to.equal(true);
        expect(store.heads()[0]?.sequence).to.equal(12);
        expect(store.getTables().get(PARTNER)?.routes.size).to.equal(4_000);
    });
});
