/**
 * What the control of allowances needs of other daemons.
 */

import type {
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";

/** A daemon that can be reached. */
export interface FleetMember {
  readonly incarnation: string;
  readonly address: string;
  readonly peerPort: number;
}

/** View of the other daemons. */
export abstract class AllowanceFleet {
  /** Incarnation of this daemon. */
  abstract get self(): string;

  /**
   * Number of daemons that share the allowances: all that may still serve. 0 if
   * it is not known yet.
   */
  abstract get memberCount(): number;

  /** Lists the daemons that can be holders. */
  abstract listCandidates(): readonly FleetMember[];

  /** Lists the other daemons whose shares a holder asks for. */
  abstract listMembers(): readonly FleetMember[];

  /** Updates the view. Called several times a second while there is demand. */
  abstract refresh(): void;

  /** Calls `listener` when the view has changed after a {@link refresh}. */
  abstract onChange(listener: () => void): void;
}

/** Sends messages to other daemons. */
export abstract class AllowanceMessenger {
  /**
   * Sends a message whose shares are delegated until `validUntilMs` on the
   * monotonic clock; resolves to undefined if there is no reply.
   */
  abstract update(
    member: FleetMember,
    message: AllowanceMessage,
    options: { readonly validUntilMs: number },
  ): Promise<AllowanceReply | undefined>;

  /** Asks a daemon for its shares. */
  abstract invite(
    member: FleetMember,
    invitation: AllowanceInvitation,
  ): void;
}
