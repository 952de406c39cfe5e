/**
 * Allowances of a deployment without limited accounts.
 */

import { ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Refusal } from "../outcome/mod.ts";
import { AllowanceControl } from "./allowance_control.ts";
import type {
  AllowanceOptions,
  AllowancePermit,
  LimitedAccount,
} from "./allowance_control.ts";

const UNLIMITED_PERMIT: AllowancePermit = { giveBack: () => undefined };

/** Grants every request. */
export class UnlimitedAllowances extends AllowanceControl {
  override acquire(
    _account: LimitedAccount,
    _options: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>> {
    return Promise.resolve(ok(UNLIMITED_PERMIT));
  }

  override isUsedUp(_accountName: string): boolean {
    return false;
  }
}
