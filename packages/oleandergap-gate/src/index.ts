/** Admission control of a target: slots, queue, fair sharing and draining. */
export * from "./admission.js";
export * from "./gate.js";
export * from "./options.js";
