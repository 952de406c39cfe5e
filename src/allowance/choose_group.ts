/**
 * Division of the accounts into groups, each of which has one holder.
 */

import { hashText } from "../hashing/mod.ts";

/** Number of account groups; every daemon sends each group's holder a message while the group is in use. */
export const GROUP_COUNT = 1;

/**
 * Chooses the group of an account.
 *
 * @param accountName - Name of the account
 * @returns Index of the group
 *
 * @example
 * const holder = holders[chooseGroup(account.name)];
 */
export function chooseGroup(accountName: string): number {
  return hashText(accountName) % GROUP_COUNT;
}
