/**
 * Notice by which a daemon tells its failure domain that it refused a version of the
 * store.
 *
 * Most daemons do not watch the store and get versions from their peers only, which
 * never have a version that they refuse. A daemon that hears of one reads the store
 * itself and decides for itself: builds may differ in what they accept.
 */

/** A version of the store that a daemon refused. */
export interface RefusedVersionNotice {
  readonly kind: "refused-version";
  readonly version: number;
  /** Time of the refusal, in milliseconds since the epoch. */
  readonly atMs: number;
}
