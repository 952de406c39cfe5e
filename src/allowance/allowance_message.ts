/**
 * Messages between daemons about allowances.
 */

/** A daemon's share of the allowances of one account group, delegated to the receiver while the message is valid. */
export interface DelegatedShare {
  readonly group: number;
  /** Number of daemons that share the allowances, as known to the sender. */
  readonly memberCount: number;
  /** Time for which nobody has used the share, in milliseconds. */
  readonly unusedMs: number;
}

/** An account's demand at the sender. */
export interface AccountDemand {
  readonly name: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Requests that wait for a token. */
  readonly needed: number;
  /** Further tokens that are likely to be used before they expire. */
  readonly expected: number;
  /** Tokens that the sender has and may still use. */
  readonly held: number;
  /** Requests a second, including refused ones. */
  readonly demandPerSecond: number;
  /** Tokens of the receiver that were not used. */
  readonly returned: number;
}

/** Message of a daemon to a holder. */
export interface AllowanceMessage {
  readonly kind: "update";
  /** Incarnation of the sender. */
  readonly sender: string;
  /** Increases with every message of the sender. */
  readonly sequence: number;
  readonly shares: readonly DelegatedShare[];
  readonly demands: readonly AccountDemand[];
}

/** Asks a daemon to delegate its share of some account groups to the sender. */
export interface AllowanceInvitation {
  readonly kind: "invite";
  readonly sender: string;
  readonly groups: readonly number[];
}

/** Tokens lent to a daemon for one account. */
export interface Loan {
  readonly name: string;
  readonly count: number;
  /** Time until the account has a token again for the first refused request; 0 if all needed tokens were lent. */
  readonly retryInMs: number;
  /** Time between two tokens, by which further refused requests are spread, in milliseconds. */
  readonly spacingMs: number;
  /** Time after which the daemon may ask again, in milliseconds. */
  readonly askAgainMs: number;
}

/** Reply to an {@link AllowanceMessage}. */
export interface AllowanceReply {
  /** Account groups for which the holder still needs the sender's share. */
  readonly wantedGroups: readonly number[];
  readonly loans: readonly Loan[];
}
