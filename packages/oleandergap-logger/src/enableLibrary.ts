/**
 * Enables the logging library; import this module before the library. If the environment variable `ROARR_LOG` is not
 * set when the library is imported, the library replaces every logger with one that drops all lines, even if
 * `ROARR.write` is set later. The daemon would then write no log lines at all.
 */
process.env["ROARR_LOG"] = "true";
