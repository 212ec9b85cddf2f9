/** Roll-outs: moving a service to a new version, judged by the outcomes of its requests. */
export * from "./rollouts.js";
export type { RequestSplit } from "./participation.js";
export { rolloutMessageSchema, type RolloutMessage } from "./exchange/rolloutMessage.js";
export type { RolloutNetwork } from "./exchange/rolloutGossip.js";
export { ROLLOUT_KEY_PREFIX, rolloutRowSchema } from "./decision/rolloutRows.js";
export {
    createSequentialJudge,
    type CreateJudge,
    type RequestCounts,
    type RolloutJudge,
    type RolloutVerdict,
} from "./judge/judge.js";
export type { RunOutcome } from "./judge/outcomeCounter.js";
export type { TargetReport, TargetReports } from "./judge/tally.js";
export { defaultRolloutOptions, rolloutOptionsSchema, type RolloutOptions } from "./options.js";
export {
    hasSameContent,
    isFinal,
    isSameService,
    rolloutOrderSchema,
    rolloutStateSchema,
    targetVersionSchema,
    type Rollout,
    type RolloutOrder,
    type RolloutState,
    type TargetVersion,
} from "./rollout.js";
export type { SplitTarget } from "./plan/targetSplit.js";
export type { LocalTargetState } from "./targetReporter.js";
export * from "./measure/fleetPlan.js";
export { simulateRollout, type SimulationOptions, type SimulationResult } from "./measure/simulateRollout.js";
export { createIsolatedRollouts } from "./testing/isolatedRollouts.js";
