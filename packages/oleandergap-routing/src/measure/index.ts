/** Discrete-event measurements of gate and routing together. */
export { measureDecisionCost, type DecisionCost } from "./decisionCost.js";
export * from "./experiments.js";
export * from "./loadPlan.js";
export * from "./placingPlan.js";
export { runLoad, type ServiceKind } from "./runLoad.js";
export { basePlacingPlan, runPlacing } from "./runPlacing.js";
