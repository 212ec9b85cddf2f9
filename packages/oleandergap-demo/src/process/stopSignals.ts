/** Converts stop signals of the process into an abort signal. */

const STOP_SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;

/** Installed handlers for SIGINT, SIGTERM and SIGHUP. */
export interface StopSignals {
    /** Aborts on the first stop signal. */
    readonly signal: AbortSignal;
    /** Removes the handlers, which restores the default effect of the signals. */
    readonly release: () => void;
}

/**
 * Installs the handlers. This program receives Ctrl-C from the terminal and shortly afterwards again from npm. A second
 * signal must not interrupt the orderly stop, or processes would be left running, so all signals after the first are
 * ignored. The stop has separate time limits.
 */
export const watchStopSignals = (): StopSignals => {
    const stop = new AbortController();
    const onSignal = (name: NodeJS.Signals): void => stop.abort(new Error(`stopped by ${name}`));
    for (const name of STOP_SIGNALS) {
        process.on(name, onSignal);
    }
    return {
        signal: stop.signal,
        release: () => {
            for (const name of STOP_SIGNALS) {
                process.off(name, onSignal);
            }
        },
    };
};
