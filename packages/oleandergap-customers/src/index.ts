/** Quotas of customers, which all nodes keep together. */
export {
    createFleetQuota,
    type CustomerUse,
    type FleetQuota,
    type FleetQuotaDependencies,
    type FleetQuotaStatistics,
} from "./fleetQuota.js";
export { defaultQuotaOptions, quotaOptionsSchema, type QuotaOptions } from "./options.js";
export type { Quota, QuotaDecision, QuotaRefusal, QuotaToken } from "./quota.js";
export { quotaMessageSchema, type QuotaMessage } from "./quotaMessage.js";
export type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";
export { createUnlimitedQuota } from "./unlimitedQuota.js";
