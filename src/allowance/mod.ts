/**
 * Allowances of client accounts: how many requests each may make over all daemons.
 */

export { AllowanceControl } from "./allowance_control.ts";
export type {
  AllowanceOptions,
  AllowancePermit,
  LimitedAccount,
} from "./allowance_control.ts";
export { AllowanceFleet, AllowanceMessenger } from "./allowance_fleet.ts";
export type { FleetMember } from "./allowance_fleet.ts";
export type {
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";
export {
  ALLOWANCE_SERVICE,
  createAllowanceSubsystem,
} from "./create_allowance_subsystem.ts";
export { AllowanceMetrics } from "./allowance_metrics.ts";
export type { AllowanceStatus } from "./allowance_status.ts";
export type { AccountLimits } from "./compute_partial_limits.ts";
export { SharedAllowances } from "./shared_allowances.ts";
export { SilentMembers } from "./silent_members.ts";
export { UnlimitedAllowances } from "./unlimited_allowances.ts";
