/**
 * Admission control at the entry and at the backend server.
 */

export { AdaptiveAdmission } from "./adaptive_admission.ts";
export type { AdaptiveAdmissionOptions } from "./adaptive_admission_options.ts";
export {
  EntryAdmission,
  UnprotectedEntryAdmission,
} from "./entry_admission.ts";
export type {
  EntryGrant,
  EntryOutcome,
  EntryRequest,
} from "./entry_admission.ts";
export { hashText } from "../hashing/mod.ts";
export { InboundAdmission } from "./inbound_admission.ts";
export type {
  CallCompletion,
  InboundCall,
  Permit,
} from "./inbound_admission.ts";
export { ThrottledEntryAdmission } from "./throttled_entry_admission.ts";
export { LearnedPaths } from "./learned_paths.ts";
export { LoadSignalEntryAdmission } from "./load_signal_entry_admission.ts";
export type { LoadSignalEntryOptions } from "./load_signal_entry_admission.ts";
export { UnprotectedAdmission } from "./unprotected_admission.ts";
