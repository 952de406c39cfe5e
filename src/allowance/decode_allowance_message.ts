/**
 * Decoding of messages about allowances. What is not exactly of the expected
 * form is rejected as a whole.
 */

import { decode } from "cbor-x";
import type {
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";
import { GROUP_COUNT } from "./choose_group.ts";

/** Maximum length of a list in a message. */
const MAX_ITEMS = 1_024;

/** Maximum length of a name in a message. */
const MAX_NAME_LENGTH = 128;

/** Form of one item of a list: a name, a number, or a list of such items. */
type Form = "name" | "number" | readonly [readonly Form[]] | "groups";

const UPDATE_FORM: readonly Form[] = [
  "name",
  "number",
  [["number", "number", "number"]],
  [[
    "name",
    "number",
    "number",
    "number",
    "number",
    "number",
    "number",
    "number",
  ]],
];

const INVITATION_FORM: readonly Form[] = ["name", "groups"];

const REPLY_FORM: readonly Form[] = [
  "groups",
  [["name", "number", "number", "number", "number"]],
];

type ShareItem = [number, number, number];
type DemandItem = [string, ...DemandCounts];
type DemandCounts = [number, number, number, number, number, number, number];
type LoanItem = [string, number, number, number, number];

/** Decodes messages and replies; undefined if they are not of the expected form. */
export const decodeAllowanceMessage = {
  /** Decodes a message to a holder. */
  update(bytes: Uint8Array): AllowanceMessage | undefined {
    const items = decodeList(bytes, UPDATE_FORM);
    if (!items) {
      return undefined;
    }
    const [sender, sequence, shares, demands] = items as [
      string,
      number,
      ShareItem[],
      DemandItem[],
    ];
    return {
      ...{ kind: "update", sender, sequence },
      shares: shares.map(([group, memberCount, unusedMs]) => ({
        ...{ group, memberCount, unusedMs },
      })),
      demands: demands.map((item) => {
        const [name, ratePerSecond, burst, ...counts] = item;
        const [needed, expected, held, demandPerSecond, returned] = counts;
        return {
          ...{ name, ratePerSecond, burst },
          ...{ needed, expected, held, demandPerSecond, returned },
        };
      }),
    };
  },

  /** Decodes an invitation. */
  invitation(bytes: Uint8Array): AllowanceInvitation | undefined {
    const items = decodeList(bytes, INVITATION_FORM);
    if (!items) {
      return undefined;
    }
    const [sender, groups] = items as [string, number[]];
    return { kind: "invite", sender, groups };
  },

  /** Decodes a reply of a holder. */
  reply(bytes: Uint8Array): AllowanceReply | undefined {
    const items = decodeList(bytes, REPLY_FORM);
    if (!items) {
      return undefined;
    }
    const [wantedGroups, loans] = items as [number[], LoanItem[]];
    return {
      wantedGroups,
      loans: loans.map(([name, count, retryInMs, spacingMs, askAgainMs]) => ({
        ...{ name, count, retryInMs, spacingMs, askAgainMs },
      })),
    };
  },
};

function decodeList(
  bytes: Uint8Array,
  form: readonly Form[],
): unknown[] | undefined {
  try {
    const items: unknown = decode(bytes);
    return hasForm(items, form) ? items : undefined;
  } catch {
    return undefined;
  }
}

function hasForm(items: unknown, form: readonly Form[]): items is unknown[] {
  return Array.isArray(items) && items.length === form.length &&
    form.every((one, index) => isOf(items[index], one));
}

function isOf(item: unknown, form: Form): boolean {
  if (form === "name") {
    return typeof item === "string" && item !== "" &&
      item.length <= MAX_NAME_LENGTH;
  }
  if (form === "number") {
    return isAmount(item);
  }
  if (!Array.isArray(item) || item.length > MAX_ITEMS) {
    return false;
  }
  return form === "groups"
    ? item.every((group) => isAmount(group) && group < GROUP_COUNT)
    : item.every((one) => hasForm(one, form[0]));
}

function isAmount(item: unknown): item is number {
  return typeof item === "number" && Number.isFinite(item) && item >= 0;
}
