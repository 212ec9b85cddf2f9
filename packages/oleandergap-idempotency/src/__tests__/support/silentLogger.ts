/** Logger for tests that discards all lines. */
import type { Logger } from "oleandergap-logger";

const doNothing = (): void => undefined;

export const silentLogger: Logger = { debug: doNothing, info: doNothing, warn: doNothing, error: doNothing };
