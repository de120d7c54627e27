/**
 * A host is killed and started again while clients of another host rest inside transactions that it held for them.
 * `TROUBLE=0` leaves out the kill.
 */
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { Client } from '../standins/client.mjs';
import * as checks from '../standins/checks.mjs';
import { Deployment, pause } from '../standins/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const SITE = 'galdi-riga';
const ZONE = 'riga-a';
/** Database of the `primary` route. */
const DATABASE = 'moves';
/** Time within which the host must be back: clients rest no longer than `transactionIdleMs`, 3 s. */
const BACK_MS = 2500;
/** Tries of the second client to get a transaction on that host, and the pause between them. */
const MAX_TRIES = 10;
const RETRY_MS = 50;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const deployment = new Deployment(SITE, join(HERE, 'record.txt'));
const { record, service } = deployment;
const clients = [];

/** Opens a session and a transaction with one write; returns the client and the host that runs it. */
async function openTransaction(name, entry) {
  const client = new Client(name, record);
  clients.push(client);
  if (!(await client.start(entry.ip, entry.ports.frontend, DATABASE))) {
    throw new Error(`${entry.name} refused a session`);
  }
  await client.query('BEGIN');
  const answer = await client.query(`WRITE thing-${name} first-${name}`);
  const run = service.runs.find(({ id }) => id === answer.id);
  return { client, holder: run?.who, isOpen: answer.signature !== undefined };
}

/** The host of the zone that holds the connections of the service, and the two that hand their statements to it. */
async function findHosts() {
  const holders = new Map();
  for (const entry of deployment.hostsOf(ZONE)) {
    const client = new Client(`probe-${entry.name}`, record);
    clients.push(client);
    await client.start(entry.ip, entry.ports.frontend, DATABASE);
    const { id } = await client.query('READ thing');
    holders.set(entry, service.runs.find((run) => run.id === id)?.who);
    client.close();
  }
  const [name] = holders.values();
  const entries = [...holders].filter(([entry, who]) => who === name && entry.name !== name);
  if (entries.length < 2) throw new Error('the zone has no single home');
  return { home: deployment.host(name), entries: entries.map(([entry]) => entry) };
}

async function play() {
  await deployment.start();
  await pause(1000);
  const { home, entries } = await findHosts();
  record.add(
    `scenario: ${home.name} runs the statements of ${entries.map((e) => e.name).join(', ')}`,
  );
  const first = await openTransaction('ann', entries[0]);
  if (!first.isOpen || first.holder !== home.name) throw new Error('no transaction to begin with');
  if (hasTrouble) {
    deployment.signal(home, 'SIGKILL');
    await pause(100);
    if (!(await deployment.waitUntilReady(home, BACK_MS)))
      throw new Error('the host is not back in time');
  }
  const second = await openAtHome('ben', entries[1], home);
  record.add('scenario: ann goes on');
  const answer = await first.client.query('WRITE thing-ann second-ann');
  await first.client.query(answer.state === 'T' ? 'COMMIT' : 'ROLLBACK');
  record.add('scenario: ben goes on');
  await second.query('COMMIT');
  await pause(300);
}

/** Opens a transaction that the home runs; the entry host may need some tries until it reaches it again. */
async function openAtHome(name, entry, home) {
  for (let turn = 1; turn <= MAX_TRIES; turn += 1) {
    const { client, holder, isOpen } = await openTransaction(`${name}${turn}`, entry);
    if (isOpen && holder === home.name) return client;
    client.close();
    await pause(RETRY_MS);
  }
  throw new Error('no transaction on the host that was started again');
}

function judge() {
  const attempts = clients.map(({ name, answers }) => ({ client: name, answers }));
  const broken = [
    ...checks.foreignStatements(service),
    ...checks.unaskedCommits(service),
    ...checks.keptAfterPromise(service, attempts),
  ];
  for (const line of broken) record.add(`BROKEN ${line}`);
  for (const line of checks.lostWrites(service, attempts)) record.add(line);
  return broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
}

let result = EXIT_NOT_RUN;
try {
  await play();
  result = judge();
} catch (error) {
  record.add(`scenario: could not run: ${error.message}`);
} finally {
  for (const client of clients) client.close();
  await deployment.stop();
}
record.add(`scenario: exit ${result}`);
record.write();
process.exit(result);
