/**
 * A host gets SIGTERM while clients are inside read-only transactions that go on. `TROUBLE=0` leaves the signal out.
 */
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { Client } from '../standins/client.mjs';
import { Deployment, pause } from '../standins/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const SITE = 'harborline-hq';
const ZONE = 'boston-hall';
/** Database of the `bounded_staleness` route. */
const DATABASE = 'dashboard';
const CLIENTS = 4;
/** "A transaction of at most 12" statements. */
const STATEMENTS = 12;
/** Longest work of a `floor-dashboard` read, milliseconds. */
const WORK_MS = 300;
/** Time-out of a statement of that route, milliseconds. */
const TIMEOUT_MS = 2000;
/** Pause of a client between two statements, milliseconds. */
const PAUSE_MS = 40;
/** Rest of a client after its first statement, milliseconds; below `transactionIdleMs`, 3 s. */
const REST_MS = 1200;
/** Time by which each client goes on later than the one before, milliseconds. */
const STAGGER_MS = 80;
/** `graceS` of the settings: SIGKILL follows SIGTERM after it. */
const GRACE_MS = 6000;
/** Share of `graceS` in whose last sixth a backend that is still at work excuses a loss. */
const LAST_SIXTH_MS = (GRACE_MS * 5) / 6;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const deployment = new Deployment(SITE, join(HERE, 'record.txt'), { workMsOf: () => WORK_MS });
const { record, service } = deployment;
const clients = [];

async function open(name, entry) {
  const client = new Client(name, record);
  clients.push(client);
  if (!(await client.start(entry.ip, entry.ports.frontend, DATABASE))) {
    throw new Error(`${entry.name} refused a session`);
  }
  await client.query('BEGIN READ');
  const answer = await client.query('READ first');
  if (answer.signature === undefined) throw new Error('no transaction to begin with');
  return client;
}

/** Goes on with the transaction until it ends; the clients go on one shortly after the other. */
async function goOn(client, index) {
  await pause(REST_MS + index * STAGGER_MS);
  for (let count = 2; count <= STATEMENTS; count += 1) {
    const answer = await client.query(`READ thing${count}`);
    if (answer.state !== 'T') return;
    await pause(PAUSE_MS);
  }
  await client.query('COMMIT');
}

async function play() {
  await deployment.start();
  await pause(1500);
  // On this site every host is a home: it runs its clients' statements on connections of its own.
  const [entry] = deployment.hostsOf(ZONE);
  const opened = await Promise.all(
    Array.from({ length: CLIENTS }, (_, index) => open(`c${index + 1}`, entry)),
  );
  const signalAt = record.now();
  let killed = false;
  if (hasTrouble) {
    deployment.signal(entry, 'SIGTERM');
    const { child } = entry;
    pause(GRACE_MS).then(() => {
      killed = child.exitCode === null && child.signalCode === null;
      if (killed) child.kill('SIGKILL');
    });
  }
  await Promise.all(opened.map(goOn));
  await pause(200);
  return { signalAt, killed };
}

/**
 * LOST: the host read a whole request and passed it on to a backend, and the connection ends without a complete answer.
 * Not counted: the route's time-out was reached, or the backend was still at work in the last sixth of `graceS`.
 */
function judge({ signalAt }) {
  const passedOn = new Set(service.started.map(({ id }) => id));
  const broken = [];
  for (const { name, answers } of clients) {
    for (const answer of answers.filter(({ code }) => code === 'CLOSED')) {
      const heldMs = answer.endedAt - answer.sentAt;
      const sinceSignal = answer.endedAt - signalAt;
      const isExcused =
        !passedOn.has(answer.id) || heldMs >= TIMEOUT_MS || sinceSignal >= LAST_SIXTH_MS;
      const what = `${answer.id} (${answer.text}) of ${name} was sent ${(answer.sentAt - signalAt).toFixed(0)} ms after`;
      const text = `${what} the SIGTERM, and its connection ended ${sinceSignal.toFixed(0)} ms after it, unanswered`;
      record.add(`${isExcused ? 'excused' : 'BROKEN'} LOST: ${text}`);
      if (!isExcused) broken.push(text);
    }
  }
  return broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
}

let result = EXIT_NOT_RUN;
try {
  result = judge(await play());
} catch (error) {
  record.add(`scenario: could not run: ${error.message}`);
} finally {
  for (const client of clients) client.close();
  await deployment.stop();
}
record.add(`scenario: exit ${result}`);
record.write();
process.exit(result);
