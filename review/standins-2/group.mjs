/**
 * Upstreams of one service: a primary and its replicas, each with a log. A commit is answered once `syncReplicas`
 * replicas have received it. A promoted upstream leads the next term with what it has received.
 */
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
const REPLICATION_MS = 5;
const PROMOTE_MS = 600;
const HEARTBEAT_MS = 1200;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** One upstream; `log` holds the commits that it has received, in order. */
class Upstream {
  constructor(id, zone, group) {
    Object.assign(this, { id, zone, group, log: [], term: 1, isPrimary: false });
    Object.assign(this, {
      isDown: false,
      isDeaf: false,
      isListed: true,
      state: 'ready',
      sequence: 0,
    });
    this.sockets = new Set();
  }

  get position() {
    return `${this.log.at(-1)?.term ?? this.term}.${this.log.length}`;
  }

  async listen() {
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(this.port ?? 0, LOOPBACK, resolve));
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Writes the upstream's entry, as long as it keeps one. */
  beat() {
    if (this.isDown || !this.isListed) return;
    this.sequence += 1;
    const { service, store } = this.group;
    store.beat(`servers/${this.id}`, {
      service,
      address: `${LOOPBACK}:${this.port}`,
      zone: this.zone,
      version: '1',
      capacity: 3,
      state: this.state,
      warmupLeftMs: 0,
      databaseRole: this.isPrimary ? 'primary' : 'replica',
      sequence: this.sequence,
    });
  }

  /** Ends the process without notice. */
  crash() {
    this.isDown = true;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Removes its entry without ever reporting that it drains; it goes on serving. */
  leaveSilently() {
    this.isListed = false;
    this.group.store.remove(`servers/${this.id}`);
  }

  accept(socket) {
    this.sockets.add(socket);
    const session = { transaction: undefined, values: new Map(), prepared: new Map() };
    let text = '';
    let work = Promise.resolve();
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const lines = text.split('\r\n');
      text = lines.pop();
      for (const line of lines) {
        work = work.then(async () => {
          const answer = await this.answer(session, line);
          if (answer !== undefined && !this.isDown) socket.write(answer, 'latin1');
          if (answer === undefined || answer.startsWith('ERROR MISROUTED')) socket.end();
        });
      }
    });
  }

  ready(session) {
    const state = session.transaction === undefined ? 'I' : session.transaction.failed ? 'E' : 'T';
    return `READY ${state} ${this.position}\r\n`;
  }

  async answer(session, line) {
    const [word, ...rest] = line.split(' ');
    if (word === 'TERMINATE') return undefined;
    if (word === 'STARTUP') {
      const [service, , id] = rest;
      const isRight = service === this.group.service && (id === undefined || id === this.id);
      return isRight ? this.ready(session) : `ERROR MISROUTED ${this.id}\r\n`;
    }
    if (word !== 'QUERY') return undefined;
    const [id, ...text] = rest;
    const result = await this.run(session, id, text);
    return result === undefined ? undefined : result + this.ready(session);
  }

  async run(session, id, [word, ...args]) {
    const { transaction } = session;
    if (word === 'AFTER') {
      const [term, offset] = args[0].split('.').map(Number);
      const holds = offset === 0 || (this.log[offset - 1]?.term ?? 0) >= term;
      return holds ? this.run(session, id, args.slice(1)) : this.fail(session, 'LAGGING');
    }
    switch (word) {
      case 'BEGIN':
        if (args[0] !== 'READ' && !this.isPrimary) return this.fail(session, 'READONLY');
        session.transaction = { readOnly: args[0] === 'READ', writes: [], failed: false };
        return 'COMPLETE -\r\n';
      case 'ROLLBACK':
        session.transaction = undefined;
        return 'COMPLETE -\r\n';
      case 'READ':
        this.group.record.ran(this.id, id, `READ ${args.join(' ')}`);
        return `DATAROW ${this.position}\r\nCOMPLETE ${this.id}.${this.position}\r\n`;
      case 'WRITE':
        if (!this.isPrimary || transaction?.readOnly) return this.fail(session, 'READONLY');
        this.group.record.ran(this.id, id, `WRITE ${args.join(' ')}`);
        if (transaction === undefined) return this.commit(id);
        transaction.writes.push(id);
        return `COMPLETE ${this.id}.w\r\n`;
      case 'COMMIT':
        session.transaction = undefined;
        if (transaction?.failed) return `ERROR ABORTED ${this.id}\r\n`;
        if (transaction === undefined || transaction.writes.length === 0)
          return `COMPLETE ${this.id}.c\r\n`;
        return this.isPrimary ? this.commit(id) : `ERROR READONLY ${this.id}\r\n`;
      case 'STATUS': {
        const role = this.isPrimary ? 'primary' : 'replica';
        return `DATAROW ${role} ${this.term} ${this.position} 0 0 0 ${this.sockets.size}\r\nCOMPLETE -\r\n`;
      }
      case 'DISCARD':
        session.values.clear();
        session.prepared.clear();
        return 'COMPLETE -\r\n';
      default:
        return 'COMPLETE -\r\n';
    }
  }

  fail(session, code) {
    if (session.transaction !== undefined) session.transaction.failed = true;
    return `ERROR ${code} ${this.id}\r\n`;
  }

  /** Commits, and answers once enough replicas have received the commit. */
  async commit(id) {
    const entry = { id, term: this.term, offset: this.log.length };
    const { log } = this;
    log.push(entry);
    this.group.record.line(`commit ${id} at ${this.id} as ${entry.term}.${log.length}`);
    while (this.group.holdersOf(entry, this) < this.group.syncReplicas) {
      await sleep(REPLICATION_MS);
      if (this.isDown || this.log !== log) return undefined;
    }
    if (!this.isDown) this.group.record.line(`answered ${id} at ${this.id}`);
    return `COMPLETE ${this.id}.${entry.term}.${log.length}\r\n`;
  }
}

/** The service and its upstreams. */
export class Group {
  constructor({ service, store, record, syncReplicas }) {
    Object.assign(this, { service, store, record, syncReplicas, upstreams: [] });
    this.onPromoted = () => undefined;
    this.replication = setInterval(() => this.replicate(), REPLICATION_MS);
  }

  async add(id, zone, isPrimary = false) {
    const upstream = new Upstream(id, zone, this);
    upstream.isPrimary = isPrimary;
    this.upstreams.push(upstream);
    await upstream.listen();
    return upstream;
  }

  get leader() {
    const running = this.upstreams.filter(({ isPrimary, isDown }) => isPrimary && !isDown);
    return running.sort((a, b) => b.term - a.term)[0];
  }

  replicate() {
    const { leader } = this;
    if (leader === undefined) return;
    for (const replica of this.upstreams) {
      if (replica === leader || replica.isDown || replica.isDeaf || replica.isPrimary) continue;
      const shared = replica.log.findIndex((entry, at) => leader.log[at] !== entry);
      if (shared >= 0) replica.log.length = shared;
      replica.log.push(...leader.log.slice(replica.log.length));
      replica.term = leader.term;
    }
  }

  holdersOf(entry, primary) {
    const replicas = this.upstreams.filter((each) => each !== primary && !each.isDown);
    return replicas.filter(({ log }) => log[entry.offset] === entry).length;
  }

  /** Promotes an upstream some time after the call; returns the status of the answer. */
  promote(id) {
    const upstream = this.upstreams.find((each) => each.id === id);
    if (upstream === undefined || upstream.isDown) return 409;
    if (upstream === this.leader) return 200;
    setTimeout(() => {
      if (upstream.isDown || upstream === this.leader) return;
      upstream.term = Math.max(...this.upstreams.map(({ term }) => term)) + 1;
      upstream.isPrimary = true;
      this.onPromoted(
        id,
        upstream.log.map((entry) => entry.id),
      );
      this.record.line(
        `promoted ${id} with ${upstream.log.length} commits in term ${upstream.term}`,
      );
      for (const other of this.upstreams) {
        if (other !== upstream && other.isPrimary)
          setTimeout(() => (other.isPrimary = false), 1000);
      }
      upstream.beat();
    }, PROMOTE_MS);
    return 200;
  }

  stop() {
    clearInterval(this.replication);
    for (const upstream of this.upstreams) if (!upstream.isDown) upstream.crash();
  }
}
