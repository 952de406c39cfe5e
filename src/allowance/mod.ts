/**
 * Allowances of client accounts: how many requests each may make over all daemons.
 */

export { AllowanceControl } from "./allowance_control.ts";
export type {
  AllowanceOptions,
  AllowancePermit,
  LimitedAccount,
} from "./allowance_control.ts";
export { UnlimitedAllowances } from "./unlimited_allowances.ts";
