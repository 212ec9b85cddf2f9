/** Selects targets, ejects failing ones, spills traffic over to other zones and retries requests. */
export * from "./options.js";
export * from "./requestExecution.js";
export * from "./target.js";
export { createTargetPicker, type TargetPickerDependencies } from "./targetPicker.js";
export { createRequestRouter, type RequestRouterDependencies } from "./requestRouter.js";
export * from "./measure/index.js";
export { createStarvationThrottle, type StarvationThrottle } from "./starvationThrottle.js";
export { createAdmissionShares, type AdmissionShares } from "./admissionShares.js";
export { createOverloadThrottle, type OverloadThrottle } from "./overloadThrottle.js";
