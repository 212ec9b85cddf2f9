/**
 * Short log lines, each with the fixed prefix of the part that wrote it. Lines go to standard error as roarr's JSON,
 * so that standard output stays free for results.
 */
import "./enableLibrary.js";
import { ROARR, Roarr as rootLogger } from "roarr";

/** Facts that accompany a line. Never a secret: credentials are not passed to loggers. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes lines of one part; `context` travels as fields beside the message. */
export interface Logger {
    readonly debug: (message: string, context?: LogContext) => void;
    readonly info: (message: string, context?: LogContext) => void;
    readonly warn: (message: string, context?: LogContext) => void;
    readonly error: (message: string, context?: LogContext) => void;
}

/** In order of importance; each level includes the later ones, and `silent` writes nothing. */
export const logLevels = ["debug", "info", "warn", "error", "silent"] as const;
export type LogLevel = (typeof logLevels)[number];

/** Receives each finished line, without its line end. */
export type WriteLine = (line: string) => void;

const writeToStandardError: WriteLine = (line) => {
    process.stderr.write(`${line}\n`);
};

let minimumLevel: LogLevel = "silent";

const isEnabled = (level: LogLevel): boolean => logLevels.indexOf(level) >= logLevels.indexOf(minimumLevel);

/** Switches logging on for this process. Until it is called, loggers write nothing. */
export const startLogging = (level: LogLevel, write: WriteLine = writeToStandardError): void => {
    minimumLevel = level;
    ROARR.write = write;
};

/** The library formats messages as printf does; a percent sign from data would be taken for a placeholder. */
const escapeMessage = (message: string): string => message.replaceAll("%", "%%");

/** Creates the logger of one part; `part` becomes the prefix of every message, for example `gate: `. */
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
