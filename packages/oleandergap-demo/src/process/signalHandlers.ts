/**
 * Stops a fleet when its program receives a stop signal that the program does not handle itself.
 *
 * The processes of a fleet are in separate process groups, so neither Ctrl-C nor the exit of the launcher ends them. An
 * interrupted experiment would leave daemons running that occupy ports, memory and CPU time. Signals that the
 * program handles itself, as the demo does, are not affected.
 */
import { constants } from "node:os";

const STOP_SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;
/** Shells report the termination by signal number n as an exit code of this value plus n. */
const SIGNAL_EXIT_BASE = 128;

/** Installs handlers that call `stop` and then exit. Returns a function that removes the handlers. */
export const installSignalHandlers = (stop: () => Promise<void>): (() => void) => {
    const handledSignals = STOP_SIGNALS.filter((name) => process.listenerCount(name) === 0);

    const onSignal = (name: NodeJS.Signals): void => {
        const exit = (): void => process.exit(SIGNAL_EXIT_BASE + constants.signals[name]);
        stop().then(exit, exit);
    };
    handledSignals.forEach((name) => process.on(name, onSignal));
    return () => {
        handledSignals.forEach((name) => process.off(name, onSignal));
    };
};
