/** Reports of commands, and their rendering as text or as JSON. */
import type { OperatorError } from "oleandergap-operator";
import { describeOperatorError } from "./describeOperatorError.js";
import { EXIT_OK, EXIT_USAGE, toExitCode } from "./exitCodes.js";
import type { NotationError } from "../notation/cellNotation.js";
import { escapeText, formatJson } from "../output/escapeText.js";

/** Error as written by `--json`: the kind, a message and further fields that depend on the kind. */
export interface ReportedError {
    readonly kind: string;
    readonly message: string;
}

/** Result of a command, with text lines for people and data for programs. */
export type CommandReport =
    | { readonly kind: "Done"; readonly result: unknown; readonly lines: readonly string[] }
    | {
        readonly kind: "Failed";
        readonly exitCode: number;
        readonly error: ReportedError;
        readonly lines: readonly string[];
    };

/** Creates the report of a successful command. `result` is the documented JSON output, `lines` the text output. */
export const reportSuccess = (result: unknown, lines: readonly string[]): CommandReport =>
    ({ kind: "Done", result, lines });

/** Creates the report of a failed command. `detailLines` are written after the message in the text output. */
export const reportFailure = (
    exitCode: number,
    error: ReportedError,
    detailLines: readonly string[] = [],
): CommandReport =>
    ({ kind: "Failed", exitCode, error, lines: [error.message, ...detailLines] });

/** Creates the report of an error that a node or the client returned. */
export const reportOperatorError = (error: OperatorError): CommandReport => {
    const [message = error.kind, ...detailLines] = describeOperatorError(error);
    return reportFailure(toExitCode(error), { ...error, message }, detailLines);
};

/** Creates the report of an argument that could not be parsed. */
export const reportNotationError = ({ kind, text, problem }: NotationError): CommandReport =>
    reportFailure(EXIT_USAGE, { kind, message: `${text}: ${problem}` });

/** Texts for standard output and standard error, and the exit code. */
export interface RenderedReport {
    readonly exitCode: number;
    readonly out: string;
    readonly error: string;
}

const formatLines = (lines: readonly string[]): string => lines.map((line) => `${escapeText(line)}\n`).join("");

/** Renders a report. With `json`, the output is exactly one JSON value, both on success and on failure. */
export const renderReport = (report: CommandReport, json: boolean): RenderedReport => {
    if (report.kind === "Done") {
        const out = json ? `${formatJson({ ok: true, result: report.result })}\n` : formatLines(report.lines);
        return { exitCode: EXIT_OK, out, error: "" };
    }
    const { exitCode, error } = report;
    return json ?
        { exitCode, out: `${formatJson({ ok: false, exitCode, error })}\n`, error: "" } :
        { exitCode, out: "", error: formatLines(report.lines) };
};
