/** Fleets of real processes on one machine, for the demo, the self-check and experiments. */
export * from "./check/runCheck.js";
export * from "./fleet/commandLine.js";
export type { OperatorAccess } from "./fleet/credentials.js";
export type { Fleet } from "./fleet/fleet.js";
export type { FleetNode } from "./fleet/fleetNode.js";
export * from "./fleet/readMetric.js";
export type { PlatformControl, TargetsControl } from "./fleet/standInControl.js";
export * from "./fleet/startFleet.js";
export * from "./fleet/waitFor.js";
export * from "./plan/deployments.js";
export * from "./plan/fleetPlan.js";
export * from "./plan/generatedPlan.js";
export * from "./process/processUsage.js";
export * from "./process/stopSignals.js";
