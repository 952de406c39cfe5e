/**
 * Program that runs a daemon which connects to its peers through simulated links.
 */

import { connect } from "node:net";
import process from "node:process";
import { Daemon } from "../daemon/daemon.ts";
import { readSettings } from "../daemon/read_settings.ts";
import { LINKS_VARIABLE, ROUTING_VARIABLE } from "./links_variable.ts";

function readFlags(): Record<string, string> {
  const flags: Record<string, string> = {};
  const words = process.argv.slice(2);
  for (let index = 0; index < words.length; index += 2) {
    const name = (words[index] ?? "").slice(2)
      .replace(/-(.)/g, (_, letter: string) => letter.toUpperCase());
    flags[name] = words[index + 1] ?? "";
  }
  return flags;
}

async function main(): Promise<void> {
  const settings = readSettings({ flags: readFlags(), environment: {} });
  if (settings.isErr()) {
    throw settings.error;
  }
  const links: Record<string, string> = JSON.parse(
    process.env[LINKS_VARIABLE] ?? "{}",
  );
  const daemon = new Daemon(settings.value, {
    routing: process.env[ROUTING_VARIABLE] === "random" ? "random" : "adaptive",
    dial: ({ address, peerPort }) =>
      connect({ host: links[address] ?? address, port: peerPort }),
  });
  await daemon.start();
  process.once("SIGTERM", () => void daemon.stop().then(() => process.exit(0)));
}

await main();
