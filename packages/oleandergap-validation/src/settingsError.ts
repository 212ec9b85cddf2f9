/** Errors in a settings file, with the details that are needed to correct the file. */

/** One invalid value. */
export interface SettingsIssue {
    /** Path of the value, for example `listen.gatewayPort`; empty if the issue concerns the whole file. */
    readonly path: string;
    /** The invalid value as JSON; `nothing` if the value is missing. */
    readonly found: string;
    /** Description of the values that are allowed. */
    readonly allowed: string;
}

/** Reason why a settings file cannot be used. Each kind contains the path of the file. */
export type SettingsError =
    | { readonly kind: "Unreadable"; readonly file: string; readonly detail: string }
    | { readonly kind: "NotYaml"; readonly file: string; readonly detail: string }
    | { readonly kind: "Invalid"; readonly file: string; readonly issues: readonly SettingsIssue[] };

const formatIssue = (issue: SettingsIssue): string =>
    `  ${issue.path === "" ? "(whole file)" : issue.path}: found ${issue.found}; ${issue.allowed}`;

/** Formats an error as one or more lines, without a line terminator at the end. */
export const formatSettingsError = (error: SettingsError): string => {
    switch (error.kind) {
        case "Unreadable":
            return `Cannot read settings file ${error.file}: ${error.detail}`;
        case "NotYaml":
            return `Settings file ${error.file} is not valid YAML: ${error.detail}`;
        case "Invalid":
            return [`Settings file ${error.file} is invalid:`, ...error.issues.map(formatIssue)].join("\n");
    }
};
