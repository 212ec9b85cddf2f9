/**
 * Switches the logging library on; to be imported before it. Without this variable at the time of its import, the
 * library replaces every logger by one that drops all lines, even when `ROARR.write` is set later; one would see a
 * daemon without any log.
 */
process.env["ROARR_LOG"] = "true";
