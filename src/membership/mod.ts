/**
 * Which daemons and backend servers there are.
 */

export { createIncarnation } from "./create_incarnation.ts";
export { GossipMembership } from "./gossip_membership.ts";
export type { GossipMembershipOptions } from "./gossip_membership.ts";
export { Membership } from "./membership.ts";
export type {
  OwnRecordChange,
  PeerConfigurationListener,
  PeerConfigurationNotice,
} from "./membership.ts";
