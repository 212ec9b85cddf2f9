/** Types of an experiment, and the format of its result. */
import type { Clock } from "oleandergap-types";

/** Numbers by name. The name ends with the unit, for example `appliedP99Ms`. */
export type Figures = Readonly<Record<string, number>>;

/** Figures of one run, in the shape in which they are printed. */
export interface ExperimentResult {
    readonly experiment: string;
    /** Number of nodes in the run; 0 for an experiment that runs only decision logic. */
    readonly nodes: number;
    /** Figures of the mesh. */
    readonly ours: Figures;
    /** Figures of the naive version under the same load in the same run. */
    readonly naive: Figures;
}

/** Input of a run. */
export interface ExperimentContext {
    readonly nodes: number;
    readonly seed: number;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Writes a progress message to standard error. */
    readonly report: (line: string) => void;
}

/** Runs the experiment. Throws if the run cannot be completed; a completed run returns its figures, even bad ones. */
export type RunExperiment = (context: ExperimentContext) => Promise<ExperimentResult>;

/** An experiment that can be started from the command line. */
export interface Experiment {
    readonly name: string;
    readonly summary: string;
    readonly defaultNodes: number;
    readonly run: RunExperiment;
}

/** Decimal places of printed figures. More would suggest a precision that a run does not have. */
const DECIMAL_PLACES = 3;

const roundFigures = (figures: Figures): Figures =>
    Object.fromEntries(
        Object.entries(figures).map(([name, value]) => [name, Number(value.toFixed(DECIMAL_PLACES))]),
    );

/** Formats the result as one line of JSON, which is the last line of output of a run. */
export const formatResult = (result: ExperimentResult): string =>
    JSON.stringify({ ...result, ours: roundFigures(result.ours), naive: roundFigures(result.naive) });
