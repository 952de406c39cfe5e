/**
 * State of the allowances at one daemon, for operators.
 */

/** What a holder has of one account group. */
export interface HeldGroup {
  readonly group: number;
  /** Number of daemons that have delegated their shares. */
  readonly shares: number;
  /** Part of the allowance that the shares add up to. */
  readonly fraction: number;
  readonly accounts: number;
  /** Largest number of daemons that lately reported demand for one account. */
  readonly borrowers: number;
}

/** Where shares are, and which accounts had requests here lately. */
export interface AllowanceStatus {
  /** Number of daemons that share the allowances. */
  readonly memberCount: number;
  /** Where this daemon's shares are, by group in use. */
  readonly holders: readonly { group: number; holder: string }[];
  /** Groups that this daemon holds. */
  readonly held: readonly HeldGroup[];
  /** Accounts with recent requests here, most requests first. */
  readonly accounts: readonly {
    name: string;
    granted: number;
    refused: number;
    isUsedUp: boolean;
  }[];
}
