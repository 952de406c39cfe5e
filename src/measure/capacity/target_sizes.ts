/**
 * Fleet size to design for, and resource limits of the control plane at that size.
 */

/** Expected sizes in two years. */
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

/** Resources that the control plane may use in one daemon. */
export const CONTROL_LIMITS = {
  coreRatio: 0.037,
  memoryMb: 64,
  bytesPerSecond: 4_096,
} as const;

/** Rate limits of the object API, shared by the whole fleet. */
export const STORE_LIMITS = {
  readsPerSecond: 2_000,
  writesPerSecond: 300,
} as const;

/** Assumed values where the requirements state none. */
export const ASSUMPTIONS = {
  /** Number of services that each service calls. */
  callsPerService: 5,
  /** Share of services that callers address directly. */
  entryServiceRatio: 1,
  /** Share of calls that are non-repeatable; their keys are held by the daemon they enter at. */
  nonRepeatableRatio: 0.05,
  /** Changes of a member's record caused by one restart or failure. */
  changesPerRestart: 4,
  /** VMs that share a rack or switch and fail together. */
  vmsPerRack: 40,
} as const;
