/**
 * The size to design for, and what may be spent on control.
 */

/** Sizes two years from now. */
export const TARGET_SIZES = {
  daemons: 6_800,
  services: 700,
  regions: 4,
  failureDomains: 16,
  callsPerSecond: 500_000,
  depth: 19,
  configurationChangesPerDay: 14_000,
  failuresPerDay: 13,
  restartsPerDay: 520,
} as const;

/** Limits for control in one daemon. */
export const CONTROL_LIMITS = {
  coreRatio: 0.037,
  memoryMb: 64,
  bytesPerSecond: 4_096,
} as const;

/** Limits of the object API for the whole fleet. */
export const STORE_LIMITS = {
  readsPerSecond: 2_000,
  writesPerSecond: 300,
} as const;

/** Assumptions where the letter states no size. */
export const ASSUMPTIONS = {
  /** Services that one service calls. */
  callsPerService: 5,
  /** Share of services that callers address. */
  entryServiceRatio: 1,
  /** Share of calls that may run only once and enter the fleet here. */
  nonRepeatableRatio: 0.05,
  /** Changes of a member's record that a restart or a failure makes. */
  changesPerRestart: 4,
  /** VMs behind one rack or switch. */
  vmsPerRack: 40,
} as const;
