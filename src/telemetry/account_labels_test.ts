import * as assert from "uvu/assert";
import { suite } from "uvu";
import { DaemonMetrics } from "./metrics.ts";

const test = suite("labels of accounts");

function observe(metrics: DaemonMetrics, account: string): string {
  const tenant = metrics.accounts.label(account);
  metrics.callDuration.observe({ class: "a", tenant, outcome: "answered" }, 1);
  return tenant;
}

async function listTenants(metrics: DaemonMetrics): Promise<Set<unknown>> {
  const { values } = await metrics.callDuration.get();
  return new Set(values.map(({ labels }) => labels.tenant));
}

// Guards against a series for each of 100,000 accounts.
test("metrics name a bounded number of accounts, the busiest of them", async () => {
  const metrics = new DaemonMetrics();
  for (let index = 0; index < 100_000; index += 1) {
    observe(metrics, `quiet-${index}`);
    if (index % 4 === 0) {
      observe(metrics, `busy-${index / 4 % 20}`);
    }
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
  const tenants = await listTenants(metrics);
  assert.ok(tenants.size <= 65, `${tenants.size}`);
  for (let index = 0; index < 20; index += 1) {
    assert.is(observe(metrics, `busy-${index}`), `busy-${index}`);
  }
});

test("few accounts are all named, and calls without one are not", () => {
  const { accounts } = new DaemonMetrics();
  const names = Array.from({ length: 64 }, (_, index) => `account-${index}`);
  assert.equal(names.map((name) => accounts.label(name)), names);
  assert.is(accounts.label("other"), "other");
});

test.run();
