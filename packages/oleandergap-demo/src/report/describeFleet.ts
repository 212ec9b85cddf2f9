/** Describes the addresses of a running fleet and example commands for users. */
import { formatAccessOptions } from "../fleet/commandLine.js";
import type { Fleet } from "../fleet/fleet.js";
import type { FleetPlan, VmPlan } from "../plan/fleetPlan.js";

const COLUMN_GAP = "  ";

/** Formats rows as a table with left-aligned columns. */
const formatTable = (rows: readonly (readonly string[])[]): string => {
    const widths = rows.reduce<readonly number[]>(
        (currentWidths, row) => row.map((cell, column) => Math.max(currentWidths[column] ?? 0, cell.length)),
        [],
    );
    return rows
        .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd())
        .join("\n");
};

const formatVmRow = ({ ports }: FleetPlan) => ({ id, address, target }: VmPlan): readonly string[] => [
    id,
    `${address}:${ports.gateway}`,
    `${address}:${ports.control}`,
    `${address}:${ports.admin}`,
    target === undefined ? "none" : `${target.partner}/${target.service} at ${address}:${ports.target}`,
];

const HEADINGS = ["node", "requests", "operators", "metrics", "target"];

const describeExamples = (fleet: Fleet): readonly string[] => {
    const { plan } = fleet;
    const [vm] = plan.vms;
    const [partner] = plan.partners;
    const service = partner?.services[0];
    if (vm === undefined || partner === undefined || service === undefined) {
        return [];
    }
    const platform = `http://${plan.platform.address}:${plan.ports.platform}/control`;
    const access = formatAccessOptions(fleet, partner.partner, vm.id).join(" ");
    return [
        "Send a request as a caller:",
        `  curl -i -H 'Host: ${service.service}.${partner.partner}' http://${vm.address}:${plan.ports.gateway}/`,
        "Read the table as an operator:",
        `  node packages/oleandergap-cli/lib/main.js ${access} get`,
        "Restore the platform from an older copy; make a change between the two commands:",
        `  curl -X POST ${platform}/copy`,
        `  curl -X POST ${platform}/restore`,
    ];
};

/** Returns the description as several lines without a trailing line break. */
export const describeFleet = (fleet: Fleet): string => {
    const { plan } = fleet;
    return [
        formatTable([HEADINGS, ...plan.vms.map(formatVmRow(plan))]),
        "",
        `Platform stand-in: ${plan.platform.address}:${plan.ports.platform}`,
        `Settings, credentials and logs: ${fleet.folder}`,
        "",
        ...describeExamples(fleet),
        "",
        "Ctrl-C stops all processes.",
    ].join("\n");
};
