/**
 * Decisions about which calls run: at the entry and at the backend server.
 */

export { EntryAdmission, OpenEntryAdmission } from "./entry_admission.ts";
export type { EntryRequest } from "./entry_admission.ts";
export { InboundAdmission } from "./inbound_admission.ts";
export type { InboundCall, Permit, PermitUse } from "./inbound_admission.ts";
export { LimitedAdmission } from "./limited_admission.ts";
export { UnprotectedAdmission } from "./unprotected_admission.ts";
