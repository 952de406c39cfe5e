import { test } from "uvu";
import * as assert from "uvu/assert";
import { DaemonMetrics } from "./metrics.ts";

/** Names services as successive configurations do, each of which replaces all of them. */
async function countServices(configurations: number, services: number) {
  const metrics = new DaemonMetrics();
  for (let version = 0; version < configurations; version += 1) {
    const names = Array.from(
      { length: services },
      (_, index) => `service-${version}-${index}`,
    );
    for (const service of names) {
      metrics.attempts.inc({ service, retry: "false" });
      metrics.attempts.inc({ service, retry: "true" });
      metrics.entryRefusals.inc({ class: "one", service });
    }
    await metrics.retainServices(new Set(names));
  }
  const { values: attempts } = await metrics.attempts.get();
  const { values: refusals } = await metrics.entryRefusals.get();
  return { attempts: attempts.length, refusals: refusals.length };
}

// Guards against metrics that grow with each service that a configuration ever named.
test("counters keep few services that are gone", async () => {
  const { attempts, refusals } = await countServices(200, 50);
  assert.ok(attempts <= 2 * (1_024 + 50), `${attempts} values`);
  assert.ok(refusals <= 1_024 + 50, `${refusals} values`);
});

test("counters of a fleet of ordinary size keep services that are gone", async () => {
  const { attempts, refusals } = await countServices(5, 50);
  assert.equal([attempts, refusals], [500, 250]);
});

test.run();
