/**
 * Decisions about which calls run: at the entry and at the backend server.
 */

export { AdaptiveAdmission } from "./adaptive_admission.ts";
export type { AdaptiveAdmissionOptions } from "./adaptive_admission.ts";
export { EntryAdmission, OpenEntryAdmission } from "./entry_admission.ts";
export type { EntryGrant, EntryRequest } from "./entry_admission.ts";
export { hashText } from "../hashing/mod.ts";
export { InboundAdmission } from "./inbound_admission.ts";
export type { InboundCall, Permit, PermitUse } from "./inbound_admission.ts";
export { ThrottledEntryAdmission } from "./throttled_entry_admission.ts";
export { LearntPaths } from "./learnt_paths.ts";
export { LevelEntryAdmission } from "./level_entry_admission.ts";
export type { LevelEntryOptions } from "./level_entry_admission.ts";
export { UnprotectedAdmission } from "./unprotected_admission.ts";
