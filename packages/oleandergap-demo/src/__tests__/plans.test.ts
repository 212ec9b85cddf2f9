import { expect } from "chai";
import fc from "fast-check";
import { MAX_CELLS_PER_CHANGE } from "oleandergap-types";
import { readMetricSamples, sumMetric } from "../fleet/readMetric.js";
import { createFullPlan } from "../plan/deployments.js";
import { listZones } from "../plan/fleetPlan.js";
import { createGeneratedPlan } from "../plan/generatedPlan.js";
import { listSeedChanges } from "../plan/seedEdits.js";

describe("createFullPlan", () => {
    it("contains the targets, slots and zones of both deployments", () => {
        const { vms, partners } = createFullPlan();
        const count = (service: string): number => vms.filter(({ target }) => target?.service === service).length;

        expect(vms).to.have.length(22);
        expect(listZones({ partners })).to.have.length(7);
        expect(["wills-desk", "grant-filer", "deed-vault"].map(count)).to.deep.equal([4, 3, 3]);
        expect(["checklist", "signoff-svc", "evidence"].map(count)).to.deep.equal([4, 4, 4]);
        const capacities = vms.map(({ target }) => `${target?.partner} ${target?.slots} ${target?.connections}`);
        expect(new Set(capacities)).to.deep.equal(new Set(["halloway 12 120", "kushiro 18 130"]));
    });
});

describe("createGeneratedPlan", () => {
    it("assigns a unique address to each node, and a target whose service has a row", () => {
        fc.assert(fc.property(fc.integer({ min: 2, max: 400 }), fc.integer({ min: 1, max: 5 }), (nodes, zones) => {
            const plan = createGeneratedPlan({ nodes, zonesPerPartner: zones, servicesPerPartner: 30 });
            const rows = new Set(plan.partners.flatMap(({ partner, services }) =>
                services.map(({ service }) => `${partner}/${service}`)));

            expect(new Set(plan.vms.map((vm) => vm.address)).size).to.equal(nodes);
            expect(new Set(plan.vms.map((vm) => vm.id)).size).to.equal(nodes);
            expect(plan.vms.every(({ target }) =>
                rows.has(`${target?.partner}/${target?.service}`))).to.equal(true);
        }));
    });

    it("rejects more nodes than its zones have addresses", () => {
        expect(() => createGeneratedPlan({ nodes: 1200, zonesPerPartner: 2 })).to.throw(RangeError);
    });
});

describe("listSeedChanges", () => {
    it("contains all cells, limits the size of a change, and never splits a row", () => {
        fc.assert(fc.property(fc.integer({ min: 1, max: 600 }), fc.integer({ min: 1, max: 5 }), (services, zones) => {
            const plan = createGeneratedPlan({ nodes: 2, zonesPerPartner: zones, servicesPerPartner: services });
            const [partner] = plan.partners;
            expect(partner).to.not.equal(undefined);
            if (partner === undefined) {
                return;
            }
            const changes = listSeedChanges(partner);
            const limits = Object.keys(partner.limits).length;

            expect(changes.every((change) => change.length <= MAX_CELLS_PER_CHANGE)).to.equal(true);
            expect(changes.flat()).to.have.length(zones + 4 * limits + services * (2 + zones));
            const rowsInChanges = changes.map((change) => new Set(change
                .filter(({ cell }) => cell.startsWith("services/"))
                .map(({ cell }) => cell.split("/")[1])));
            const rowsInAll = rowsInChanges.reduce((sum, rows) => sum + rows.size, 0);
            expect(rowsInAll).to.equal(services);
        }), { numRuns: 20 });
    });
});

describe("readMetricSamples", () => {
    const text = [
        "# HELP requests_total Requests.",
        "requests_total{at=\"gate\",reason=\"a \\\"b\\\"\"} 3",
        "requests_total{at=\"gateway\"} 4 1700000000",
        "requests_total_other 9",
        "up 1",
    ].join("\n");

    it("returns the samples of one metric and sums those with the given labels", () => {
        expect(readMetricSamples(text, "requests_total").map(({ value }) => value)).to.deep.equal([3, 4]);
        expect(sumMetric(text, "requests_total", { at: "gateway" })).to.equal(4);
        expect(sumMetric(text, "up")).to.equal(1);
        expect(sumMetric(text, "absent")).to.equal(0);
    });
});
