/**
 * Fleet membership: which daemons and backend servers exist and what state they
 * are in.
 */

export { chooseDelegates } from "./choose_delegates.ts";
export { createIncarnation } from "./create_incarnation.ts";
export { GossipMembership } from "./gossip_membership.ts";
export type { GossipMembershipOptions } from "./gossip_membership.ts";
export type { MemberLoss } from "./loss_reporter.ts";
export { DatagramTransport } from "./datagram_transport.ts";
export type { DatagramHandler } from "./datagram_transport.ts";
export {
  EvictionLimiter,
  MAX_DOMAIN_EVICTION_RATIO,
  MAX_SERVICE_EVICTION_RATIO,
  RatioEvictionLimiter,
} from "./eviction_limiter.ts";
export type { LiveMemberCounts } from "./eviction_limiter.ts";
export { Membership } from "./membership.ts";
export type {
  MembershipTraffic,
  OwnRecordChange,
  PeerConfigurationListener,
  PeerConfigurationNotice,
} from "./membership.ts";
export { UdpTransport } from "./udp_transport.ts";
export { updateMembershipGauges } from "./update_membership_gauges.ts";
