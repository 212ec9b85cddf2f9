/** Experiments that compare the mesh with a naive version. */
export * from "./experiment.js";
export * from "./experiments.js";
