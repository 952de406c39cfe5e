import { test } from "uvu";
import * as assert from "uvu/assert";
import { DistributionBench } from "../testing/distribution_bench.ts";

/** Time within which a change must be active, in milliseconds. */
const APPLY_MS = 2_500;

const CHANGES = 4;

// A daemon goes on after an exception that nothing handles. One in the tasks of the
// distribution ended them for good, and the daemon served on with its configuration.
for (const isWatcher of [true, false]) {
  test(`an exception on a daemon that is ${isWatcher ? "a" : "no"} watcher delays no later configuration`, async () => {
    const bench = new DistributionBench(61, undefined, {
      watchersPerDomain: 1,
    });
    await bench.start();
    const daemon = bench.fleet.daemons.find(({ distributor }) =>
      distributor.isWatcher === isWatcher
    )!;
    let thrown = 0;
    daemon.holder.subscribe(() => {
      thrown += 1;
      if (thrown === 1) {
        throw new Error("a subscriber failed");
      }
    });
    for (let change = 0; change < CHANGES; change += 1) {
      const version = await bench.accept(2_000 + change);
      await bench.advance(APPLY_MS);
      assert.is(daemon.holder.version, version, `change ${change}`);
      assert.is(daemon.distributor.isWatcher, isWatcher);
    }
    assert.ok(thrown > 1);
    bench.fleet.stop();
  });
}

test.run();
