/**
 * Loggers for short log lines. Each line has the fixed prefix of the component that writes it. Lines are written to
 * standard error in the JSON format of roarr, because standard output is reserved for results.
 */
import "./enableLibrary.js";
import { ROARR, Roarr as rootLogger } from "roarr";

/** Fields that accompany a log line. They never contain secrets: credentials are not passed to loggers. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes the log lines of one component; the entries of `context` are separate fields next to the message. */
export interface Logger {
    readonly debug: (message: string, context?: LogContext) => void;
    readonly info: (message: string, context?: LogContext) => void;
    readonly warn: (message: string, context?: LogContext) => void;
    readonly error: (message: string, context?: LogContext) => void;
}

/** Log levels in ascending order of severity. Each level includes the levels after it; `silent` writes nothing. */
export const logLevels = ["debug", "info", "warn", "error", "silent"] as const;
export type LogLevel = (typeof logLevels)[number];

/** Writes one complete line, which is passed without a line terminator. */
export type WriteLine = (line: string) => void;

const writeToStandardError: WriteLine = (line) => {
    process.stderr.write(`${line}\n`);
};

let minimumLevel: LogLevel = "silent";

const isEnabled = (level: LogLevel): boolean => logLevels.indexOf(level) >= logLevels.indexOf(minimumLevel);

/** Enables logging in this process. Loggers write nothing until this function has been called. */
export const startLogging = (level: LogLevel, write: WriteLine = writeToStandardError): void => {
    minimumLevel = level;
    ROARR.write = write;
};

/**
 * Escapes percent signs. The library formats messages like printf and would treat a percent sign in the data as a
 * placeholder.
 */
const escapeMessage = (message: string): string => message.replaceAll("%", "%%");

/** Creates the logger of the component `part`, whose name is the prefix of each message, for example `gate: `. */
export const createLogger = (part: string): Logger => {
    const log = rootLogger.child({ part });
    const createWriter =
        (level: Exclude<LogLevel, "silent">): Logger["info"] =>
            (message, context = {}) => {
                if (isEnabled(level)) {
                    log[level](context, escapeMessage(`${part}: ${message}`));
                }
            };
    return {
        debug: createWriter("debug"),
        info: createWriter("info"),
        warn: createWriter("warn"),
        error: createWriter("error"),
    };
};
