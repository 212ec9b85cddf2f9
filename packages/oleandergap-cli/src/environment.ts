/** Process environment of the command line. Tests provide their own. */
import type { Clock } from "oleandergap-types";

/** Everything that one run of the command line uses from its process. */
export interface Environment {
    /** Environment variables. */
    readonly variables: Readonly<Record<string, string | undefined>>;
    readonly writeOut: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Reads standard input to its end. */
    readonly readInput: () => Promise<string>;
    readonly clock: Clock;
    /** Returns a new change id on each call. */
    readonly createChangeId: () => string;
    /** Aborts when the operator interrupts the command. */
    readonly signal: AbortSignal;
}

/** Environment variable with the path of the settings file, used when `--settings` is not given. */
export const SETTINGS_VARIABLE = "OLEANDERGAP_SETTINGS";
