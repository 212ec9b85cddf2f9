/** Measurements of claims for the package of the experiments. */
export {
    claimVersions,
    measureOutage,
    measureRuns,
    type ClaimVersion,
    type OutageFigures,
    type RunsFigures,
} from "./atMostOnce.js";
export { measureDurableCost, measureOwnedCost, type CostFigures } from "./claimCost.js";
export { measurePartitionMoves, type MoveFigures } from "./partitionMoves.js";
