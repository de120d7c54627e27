/**
 * A replica is about to leave, the other one receives nothing for a while, and the primary crashes meanwhile, in a
 * service with `syncReplicas` 1. `TROUBLE=0` leaves all three out; `DRAINING=0` leaves out only that the replica leaves.
 */
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { Client } from '../standins/client.mjs';
import { Deployment, pause } from '../standins/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const SITE = 'harborline-hq';
const ZONE = 'boston-hall';
/** Database of the `primary` route. */
const DATABASE = 'outcomes';
/** "`replica_lag`, for_s = 6.5, count = 1, how = deaf crash" of the site file. */
const DEAF_MS = 6500;
const WRITES = 5;
/** Time within which a primary has to be there again, milliseconds. */
const PROMOTION_MS = 20_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const hasDraining = process.env.DRAINING !== '0';
const deployment = new Deployment(SITE, join(HERE, 'record.txt'), { syncReplicas: 1 });
const { record, service } = deployment;
const client = new Client('dee', record);
/** Ids of the writes that were answered with a success. */
const acknowledged = [];

async function write(count) {
  for (let index = 0; index < count; index += 1) {
    const answer = await client.query(`WRITE note${acknowledged.length + 1} done`);
    if (answer.signature !== undefined) acknowledged.push(answer.id);
  }
}

async function play() {
  await deployment.start();
  await pause(1500);
  const [entry] = deployment.hostsOf(ZONE);
  if (!(await client.start(entry.ip, entry.ports.frontend, DATABASE)))
    throw new Error('no session');
  await write(WRITES);
  if (acknowledged.length < WRITES) throw new Error('no writes to begin with');
  await pause(200);
  const [primary, leaving, deaf] = service.backends;
  if (hasTrouble) {
    if (hasDraining) service.drain(leaving);
    service.makeDeaf(deaf, DEAF_MS);
    await pause(300);
  }
  await write(WRITES);
  record.add(`scenario: ${acknowledged.length} writes were answered with a success`);
  if (!hasTrouble) return;
  service.crash(primary);
  const until = record.now() + PROMOTION_MS;
  while (service.promotions.length === 0 && record.now() < until) await pause(50);
  if (service.promotions.length === 0) throw new Error('no backend was promoted');
}

/** LOST: the log of the promoted backend lacks an acknowledged commit, where the service has `syncReplicas`. */
function judge() {
  const broken = [];
  for (const { id, log } of service.promotions) {
    const held = new Set(log.flatMap(({ writes }) => writes.map((each) => each.id)));
    for (const lost of acknowledged.filter((each) => !held.has(each))) {
      broken.push(
        `LOST: ${id} was promoted without the commit of ${lost}, which was answered with a success`,
      );
    }
  }
  for (const line of broken) record.add(`BROKEN ${line}`);
  return broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
}

let result = EXIT_NOT_RUN;
try {
  await play();
  result = judge();
} catch (error) {
  record.add(`scenario: could not run: ${error.message}`);
} finally {
  client.close();
  await deployment.stop();
}
record.add(`scenario: exit ${result}`);
record.write();
process.exit(result);
