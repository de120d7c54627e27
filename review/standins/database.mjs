/**
 * Stand-in for the backends of one service: a primary and its replicas that speak the wire of PROTOCOL. Every statement
 * that runs and every transaction that ends is recorded, so that a check can compare them with what clients sent.
 */
import { createServer } from 'node:net';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const LOOPBACK = '127.0.0.1';
const HANDSHAKE_MS = 12;
/** Time that a commit takes to a replica, milliseconds. */
const NETWORK_MS = 2;
const DEAF_POLL_MS = 20;
const OLD_PRIMARY_NOTICES_MS = 1000;
const HEARTBEAT_MS = 1200;

/** One backend process. */
class Backend {
  constructor(service, id, zone) {
    this.service = service;
    this.id = id;
    this.zone = zone;
    this.isPrimary = false;
    this.term = 1;
    /** Commits received, in order: `{ term, tx, writes }`. */
    this.log = [];
    /** How many of them reads show. */
    this.applied = 0;
    /** Whether it receives nothing at present. */
    this.isDeaf = false;
    this.isDown = false;
    this.sockets = new Set();
    this.connections = 0;
    this.busy = 0;
    this.queue = [];
    this.state = 'ready';
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Position that its reads show. */
  get position() {
    return this.positionAt(this.applied);
  }

  get receivedPosition() {
    return this.positionAt(this.log.length);
  }

  positionAt(length) {
    return `${this.log[length - 1]?.term ?? 1}.${length}`;
  }

  holds(position) {
    const [term, number] = position.split('.').map(Number);
    return number === 0 || (number <= this.applied && this.log[number - 1]?.term === term);
  }

  /** Takes over the first commits of another log, and applies them after its lag. */
  receive(log, length) {
    this.log = log.slice(0, length);
    setTimeout(() => {
      if (this.log.length >= length && !this.isPrimary)
        this.applied = Math.max(this.applied, length);
    }, this.service.options.lagMs);
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, LOOPBACK, resolve));
    this.port = this.server.address().port;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(socket) {
    const connection = new Connection(this, socket);
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => connection.receive(chunk));
    socket.on('close', () => {
      this.sockets.delete(socket);
      connection.end();
    });
  }

  /** Waits for one of the slots; false if too many wait already. */
  async takeSlot() {
    const { slots, queueLength } = this.service.options;
    if (this.busy >= slots) {
      if (this.queue.length >= queueLength) return false;
      await new Promise((resolve) => this.queue.push(resolve));
    }
    this.busy += 1;
    return true;
  }

  freeSlot() {
    this.busy -= 1;
    this.queue.shift()?.();
  }
}

/** One connection to a backend, which answers one message after the other. */
class Connection {
  constructor(backend, socket) {
    this.backend = backend;
    this.socket = socket;
    this.service = backend.service;
    this.name = this.service.nextConnection(backend);
    this.buffered = '';
    this.lines = [];
    this.working = false;
    this.started = false;
    this.who = '';
    this.tx = undefined;
    this.values = new Map();
    this.prepared = new Map();
  }

  receive(chunk) {
    this.buffered += chunk.toString('latin1');
    const lines = this.buffered.split('\r\n');
    this.buffered = lines.pop();
    this.lines.push(...lines);
    if (!this.working) void this.work();
  }

  async work() {
    this.working = true;
    for (let line = this.lines.shift(); line !== undefined; line = this.lines.shift()) {
      if (this.socket.destroyed) break;
      await this.handle(line);
    }
    this.working = false;
  }

  end() {
    if (this.started) this.backend.connections -= 1;
    this.started = false;
    this.endTransaction('rolled back by close');
  }

  send(text) {
    if (!this.socket.destroyed) this.socket.write(text, 'latin1');
  }

  async handle(line) {
    const [word, rest] = split(line);
    if (word === 'STARTUP') return this.start(rest);
    if (word === 'TERMINATE') return this.socket.end();
    if (word !== 'QUERY' || !this.started) return this.socket.destroy();
    const [id, text] = split(rest);
    const answer = await this.run(id, text);
    if (answer !== undefined) this.send(`${answer}${this.ready()}`);
  }

  async start(rest) {
    const { backend } = this;
    const [service, who, id] = rest.split(' ');
    const isHere = service === this.service.name && (id === undefined || id === backend.id);
    if (!isHere) {
      this.send(`ERROR MISROUTED ${backend.id}\r\n`);
      this.socket.end();
      return;
    }
    if (backend.connections >= this.service.options.maxConnections) {
      this.send(`ERROR OVERLOADED ${backend.id}\r\n`);
      this.socket.end();
      return;
    }
    backend.connections += 1;
    this.started = true;
    this.who = who;
    await pause(HANDSHAKE_MS);
    this.send(this.ready());
  }

  ready() {
    const state = this.tx === undefined ? 'I' : this.tx.failed ? 'E' : 'T';
    return `READY ${state} ${this.backend.position}\r\n`;
  }

  async run(id, text) {
    const [word] = split(text);
    if (this.tx?.failed === true && word !== 'COMMIT' && word !== 'ROLLBACK') {
      return error('MALFORMED', this.backend.id);
    }
    switch (word) {
      case 'STATUS':
        return `DATAROW ${this.status()}\r\nCOMPLETE -\r\n`;
      case 'PAUSE':
      case 'RESUME':
        return `DATAROW ${this.status()}\r\nCOMPLETE -\r\n`;
      case 'STEPDOWN':
        if (this.backend.isPrimary && this.backend.term < Number(split(text)[1])) {
          this.backend.isPrimary = false;
        }
        return `DATAROW ${this.status()}\r\nCOMPLETE -\r\n`;
      case 'SET': {
        const [name, value] = split(split(text)[1]);
        this.values.set(name, value);
        return done();
      }
      case 'PREPARE': {
        const [name, body] = split(split(text)[1]);
        const [kind, shape] = split(body);
        this.prepared.set(name, { kind, shape });
        return done();
      }
      case 'DEALLOCATE':
        if (!this.prepared.delete(split(text)[1])) return this.fail('NOSUCHSTMT');
        return done();
      case 'DISCARD':
        this.values.clear();
        this.prepared.clear();
        return done();
      case 'ROLLBACK':
        this.endTransaction(`rolled back by ${id}`);
        return done();
      case 'BEGIN':
        return this.begin(text);
      case 'AFTER': {
        const [position, inner] = split(split(text)[1]);
        if (!this.backend.holds(position)) return this.fail('LAGGING');
        return this.run(id, inner);
      }
      default:
        return this.runInSlot(id, text);
    }
  }

  begin(text) {
    const readOnly = text === 'BEGIN READ';
    if (this.tx !== undefined) return this.fail('MALFORMED');
    if (!readOnly && !this.backend.isPrimary) return error('READONLY', this.backend.id);
    const name = this.service.nextTransaction(this);
    this.tx = { name, readOnly, statements: [], writes: [], failed: false };
    return done();
  }

  async runInSlot(id, text) {
    const { backend, service } = this;
    if (!(await backend.takeSlot())) return this.fail('BUSY');
    service.noteStart(id, text, this);
    await pause(service.options.workMsOf(text));
    backend.freeSlot();
    if (this.socket.destroyed) return undefined;
    const [word, rest] = split(text);
    if (word === 'COMMIT') return this.commit(id);
    if (word === 'READ') return this.read(id, text, split(rest)[0]);
    if (word === 'WRITE') return this.write(id, text, ...split(rest));
    if (word !== 'EXECUTE') return this.fail('MALFORMED');
    const [name, args] = split(rest);
    const prepared = this.prepared.get(name);
    if (prepared === undefined) return this.fail('NOSUCHSTMT');
    const [thing, data] = split(args);
    return prepared.kind === 'READ'
      ? this.read(id, text, thing)
      : this.write(id, text, thing, data);
  }

  read(id, text, thing) {
    this.note(id, text);
    const shown = this.backend.log.slice(0, this.backend.applied);
    const rows = shown.filter((commit) => commit.writes.some((write) => write.thing === thing));
    return `DATAROW ${thing}:${rows.length}\r\n${done(this.sign(id))}`;
  }

  async write(id, text, thing, data) {
    const { backend } = this;
    if (this.tx?.readOnly === true || !backend.isPrimary) return this.fail('READONLY');
    this.note(id, text);
    const entry = { id, thing, data };
    if (this.tx !== undefined) this.tx.writes.push(entry);
    else await this.service.commit(backend, [entry], `single ${id}`);
    return done(this.sign(id));
  }

  async commit(id) {
    const { tx, backend } = this;
    if (tx === undefined) return error('MALFORMED', backend.id);
    if (tx.failed) {
      this.endTransaction(`rolled back by ${id}`);
      return error('ABORTED', backend.id);
    }
    if (tx.writes.length > 0 && !backend.isPrimary) {
      this.endTransaction(`rolled back by ${id}`);
      return error('READONLY', backend.id);
    }
    this.service.noteEnd(tx, this, 'committed', id);
    this.tx = undefined;
    if (tx.writes.length > 0) await this.service.commit(backend, tx.writes, tx.name);
    return done(this.sign(id));
  }

  /** Answers an error; inside a transaction, that fails. */
  fail(code) {
    if (this.tx !== undefined) this.tx.failed = true;
    return error(code, this.backend.id);
  }

  endTransaction(how) {
    if (this.tx === undefined) return;
    this.service.noteEnd(this.tx, this, how, undefined);
    this.tx = undefined;
  }

  note(id, text) {
    this.tx?.statements.push(id);
    this.service.noteRun(id, text, this);
  }

  sign(id) {
    return `${this.backend.id}.${this.backend.term}.${id}`;
  }

  status() {
    const { isPrimary, term, receivedPosition, busy, connections } = this.backend;
    const role = isPrimary ? 'primary' : 'replica';
    return `${role} ${term} ${receivedPosition} ${term} 0 ${busy} ${connections}`;
  }
}

/** The backends of one service. */
export class Service {
  /**
   * @param options `slots`, `queueLength`, `maxConnections`, `syncReplicas`, `lagMs`, `promoteMs` and `workMsOf(text)`
   */
  constructor(name, zones, options, record) {
    this.name = name;
    this.options = options;
    this.record = record;
    this.backends = zones.map((zone, index) => new Backend(this, `i-${index + 1}`, zone));
    this.backends[0].isPrimary = true;
    /** Statements that ran: `{ id, text, tx, conn, backend, who, at }`. */
    this.runs = [];
    /** Statements on which a backend began to work: `{ id, text, conn, tx, at }`. */
    this.started = [];
    /** Transactions that ended: `{ name, statements, writes, how, commitId, conn }`. */
    this.ended = [];
    /** Commits in the order in which they took effect. */
    this.commits = [];
    /** Backends that were promoted, each with the log that it had. */
    this.promotions = [];
    this.connectionCount = 0;
    this.transactionCount = 0;
    this.sequence = 0;
  }

  /** Starts the backends, which record themselves in the store. */
  async start(platform) {
    this.platform = platform;
    for (const backend of this.backends) {
      await backend.listen();
      this.register(backend);
    }
    this.heartbeat = setInterval(() => {
      this.sequence += 1;
    }, HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.heartbeat);
    for (const backend of this.backends) backend.close();
  }

  /** Writes a backend's entry. A later heartbeat changes nothing but `sequence`, so it is no change of the entry. */
  register(backend) {
    this.sequence += 1;
    this.platform.put(`servers/${backend.id}`, {
      service: this.name,
      address: `${LOOPBACK}:${backend.port}`,
      zone: backend.zone,
      version: 'v1',
      capacity: this.options.slots,
      state: backend.state,
      warmupLeftMs: 0,
      databaseRole: backend.isPrimary ? 'primary' : 'replica',
      sequence: this.sequence,
    });
  }

  get primary() {
    return this.backends.filter((each) => each.isPrimary).sort((a, b) => b.term - a.term)[0];
  }

  nextConnection(backend) {
    this.connectionCount += 1;
    return `${backend.id}/c${this.connectionCount}`;
  }

  nextTransaction(connection) {
    this.transactionCount += 1;
    const name = `t${this.transactionCount}`;
    this.record.add(`backend: ${connection.name} (${connection.who}) begins ${name}`);
    return name;
  }

  /** Records that a backend has begun to work on a statement. */
  noteStart(id, text, { name, tx }) {
    this.started.push({ id, text, conn: name, tx: tx?.name, at: this.record.now() });
  }

  noteRun(id, text, connection) {
    const { tx, backend, name, who } = connection;
    this.runs.push({ id, text, tx: tx?.name, conn: name, backend: backend.id, who });
    this.record.add(
      `backend: ${name} (${who}) in ${tx?.name ?? 'no transaction'} runs ${id} ${text}`,
    );
  }

  noteEnd(tx, connection, how, commitId) {
    this.ended.push({ ...tx, how, commitId, conn: connection.name });
    const by = commitId === undefined ? '' : ` by ${commitId}`;
    const what = tx.statements.join(' ');
    this.record.add(
      `backend: ${connection.name} ${tx.name} ${how}${by}; it ran ${what || 'nothing'}`,
    );
  }

  /** Commits at a primary; resolves when as many replicas as `syncReplicas` have received the commit. */
  async commit(primary, writes, tx) {
    const commit = { term: primary.term, tx, writes };
    primary.log.push(commit);
    primary.applied = primary.log.length;
    this.commits.push(commit);
    const { log, term } = primary;
    const { length } = log;
    const received = this.backends
      .filter((each) => each !== primary)
      .map((each) => this.send(log, length, term, each));
    if (this.options.syncReplicas > 0) await Promise.any(received);
  }

  /** Sends a commit to a replica; resolves when the replica has received it, which a deaf one does later. */
  async send(log, length, term, replica) {
    await pause(NETWORK_MS);
    while (replica.isDeaf || replica.isDown) await pause(DEAF_POLL_MS);
    if (replica.isPrimary || replica.term !== term) return new Promise(() => undefined);
    if (replica.log.length < length) replica.receive(log, length);
    return undefined;
  }

  /** A backend crashes: it says nothing, and its entry goes after three heartbeats. */
  crash(backend) {
    this.record.add(`backend: ${backend.id} crashes with ${backend.log.length} commits`);
    backend.isDown = true;
    backend.close();
    setTimeout(() => this.platform.remove(`servers/${backend.id}`), 3 * HEARTBEAT_MS).unref();
  }

  /** A backend receives nothing for a while. */
  makeDeaf(backend, forMs) {
    this.record.add(`backend: ${backend.id} receives nothing for ${forMs} ms`);
    backend.isDeaf = true;
    setTimeout(() => {
      backend.isDeaf = false;
    }, forMs).unref();
  }

  /** A backend states that it will end, and serves on. */
  drain(backend) {
    this.record.add(`backend: ${backend.id} is draining`);
    backend.state = 'draining';
    this.register(backend);
  }

  /** Carries out `POST /promotion`. */
  promote(id) {
    const next = this.backends.find((backend) => backend.id === id);
    if (next === undefined || next.isDown) return 409;
    if (next === this.primary) return 200;
    setTimeout(() => this.lead(next), this.options.promoteMs).unref();
    return 200;
  }

  /** A backend leads the next term with what it has received and nothing more. */
  lead(next) {
    const former = this.primary;
    if (next.isDown || next === former) return;
    next.term = Math.max(...this.backends.map((each) => each.term)) + 1;
    next.isPrimary = true;
    next.applied = next.log.length;
    this.promotions.push({ id: next.id, log: next.log.slice() });
    this.record.add(`backend: ${next.id} leads term ${next.term} with ${next.log.length} commits`);
    this.register(next);
    const follow = (backend) => {
      if (backend.isDown) return;
      backend.isPrimary = false;
      backend.term = next.term;
      backend.applied = Math.min(backend.applied, next.log.length);
      backend.receive(next.log, next.log.length);
      this.register(backend);
    };
    for (const each of this.backends) {
      if (each === next) continue;
      setTimeout(() => follow(each), each === former ? OLD_PRIMARY_NOTICES_MS : 0).unref();
    }
  }
}

function split(text) {
  const space = text.indexOf(' ');
  return space < 0 ? [text, ''] : [text.slice(0, space), text.slice(space + 1)];
}

function done(signature = '-') {
  return `COMPLETE ${signature}\r\n`;
}

function error(code, id) {
  return `ERROR ${code} ${id}\r\n`;
}

function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
