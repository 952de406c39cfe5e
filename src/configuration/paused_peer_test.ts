import * as assert from "uvu/assert";
import { suite } from "uvu";
import { DistributionBench } from "../testing/distribution_bench.ts";

const test = suite("configuration from a paused peer");

/** Bound of the deployment, in milliseconds. */
const APPLY_MS = 2_500;

/** Time after which the announcements of an activation are on their way, in milliseconds. */
const ANNOUNCED_MS = 1;

// A failure domain has one watcher, and members prefer it as the nearest peer. When
// it was paused after its announcement, each of them waited 3 s for its answer.
test("with the watcher of a failure domain paused after it announced a change, the other members have it in time", async () => {
  const late: string[] = [];
  for (let seed = 61; seed < 71; seed += 1) {
    const bench = new DistributionBench(seed, undefined, {
      watchersPerDomain: 1,
    });
    await bench.start();
    for (const daemon of bench.fleet.daemons) {
      if (daemon.distributor.isWatcher) {
        daemon.holder.subscribe(() =>
          bench.clock.schedule(ANNOUNCED_MS, () => {
            daemon.isPaused = daemon.self.failureDomain === "gent-a";
          })
        );
      }
    }
    const version = await bench.accept(10_000);
    await bench.advance(APPLY_MS);
    const behind = bench.fleet.daemons.filter(({ holder, isPaused }) =>
      !isPaused && holder.version < version
    );
    if (behind.length > 0) {
      late.push(`seed ${seed}: ${behind.length} daemons behind`);
    }
    bench.fleet.stop();
  }
  assert.equal(late, []);
});

test.run();
