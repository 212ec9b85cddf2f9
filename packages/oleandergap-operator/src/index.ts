/** Operators' interface: procedures, credentials and client. */
export type { OperatorServices } from "./procedures/context.js";
export { formatNodeAddress, type NodeAddress } from "./client/nodeAddress.js";
export * from "./client/operatorClient.js";
export * from "./credentials/credential.js";
export * from "./credentials/credentialChecker.js";
export * from "./handler.js";
export * from "./credentials/identity.js";
export * from "./schemas/inputs.js";
export * from "./schemas/operatorError.js";
export * from "./options.js";
export * from "./ports.js";
export * from "./procedures/router.js";
export * from "./schemas/views.js";
