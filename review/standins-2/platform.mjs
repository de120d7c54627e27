/**
 * The platform's metadata store and its promotion call.
 */
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

const LOOPBACK = '127.0.0.1';

/** Key-value store with a counter of revisions, conditional changes and watches. */
export class Store {
  items = new Map();
  events = [];
  revision = 1;
  watchers = new Set();
  beats = new Map();

  put(key, document) {
    this.write(key, Buffer.from(JSON.stringify(document)).toString('base64'));
  }

  /** Writes the entry of an upstream; it counts as changed only if more than its sequence has changed. */
  beat(key, { sequence, ...entry }) {
    const text = JSON.stringify(entry);
    if (this.beats.get(key) === text && this.items.has(key)) return;
    this.beats.set(key, text);
    this.put(key, { ...entry, sequence });
  }

  write(privateKey, value) {
    this.revision += 1;
    this.set(privateKey, value, this.revision);
    this.notify();
  }

  set(privateKey, value, revision) {
    const createdRevision = this.items.get(privateKey)?.createdRevision ?? revision;
    const item = { privateKey, value, revision, createdRevision, leaseId: 0 };
    this.items.set(privateKey, item);
    this.events.push(item);
  }

  remove(privateKey) {
    if (!this.items.has(privateKey)) return;
    this.revision += 1;
    this.drop(privateKey, this.revision);
    this.notify();
  }

  drop(privateKey, revision) {
    if (this.items.delete(privateKey)) this.events.push({ privateKey, revision, deleted: true });
  }

  notify() {
    for (const done of [...this.watchers]) done();
  }

  transact({ expectedRevision = [], writes = [], remove = [] }) {
    const present = expectedRevision.map(({ privateKey }) => this.items.get(privateKey));
    const holds = expectedRevision.every(
      ({ revision }, at) => (present[at]?.revision ?? 0) === revision,
    );
    if (!holds) return [412, { items: present.filter((item) => item !== undefined) }];
    this.revision += 1;
    for (const { privateKey, value } of writes) this.set(privateKey, value, this.revision);
    for (const key of remove) this.drop(key, this.revision);
    this.notify();
    return [200, { revision: this.revision }];
  }

  async watch(prefix, after, waitMs) {
    const found = () =>
      this.events.filter((e) => e.revision > after && e.privateKey.startsWith(prefix));
    if (found().length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.watchers.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        this.watchers.add(done);
      });
    }
    return [200, { events: found(), atRevision: this.revision }];
  }
}

/** Serves the store and the promotion call over HTTP. */
export class Platform {
  constructor(store, record, promote) {
    Object.assign(this, { store, record, promote, sockets: new Set() });
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, LOOPBACK, resolve));
    return this.server.address().port;
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async serve(req, res) {
    try {
      const chunks = [];
      for await (const chunk of req) chunks.push(chunk);
      const text = Buffer.concat(chunks).toString('utf8');
      const [status, body] = await this.answer(req, text === '' ? {} : JSON.parse(text));
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    } catch {
      res.destroy();
    }
  }

  async answer(req, body) {
    const { pathname, searchParams: query } = new URL(req.url, 'http://localhost');
    const { store } = this;
    switch (pathname) {
      case '/gladespool/kv-key': {
        const item = store.items.get(query.get('privateKey'));
        return item === undefined ? [404, {}] : [200, { ...item, atRevision: store.revision }];
      }
      case '/gladespool/kv-range': {
        const prefix = query.get('pathPrefix') ?? '';
        const items = [...store.items.values()].filter((item) =>
          item.privateKey.startsWith(prefix),
        );
        return [200, { items, hasMore: false, atRevision: store.revision }];
      }
      case '/gladespool/kv-watch':
        return store.watch(
          query.get('pathPrefix') ?? '',
          Number(query.get('after')),
          Number(query.get('waitMs')),
        );
      case '/gladespool/kv-txn':
        return store.transact(body);
      case '/promotion': {
        const status = this.promote(body.id);
        const holder = req.headers['gladespool-lease-holder'];
        const fence = req.headers['gladespool-fencing-token'];
        this.record.line(
          `promotion call for ${body.id} by ${holder} with token ${fence}: ${status}`,
        );
        return [status, {}];
      }
      default:
        return [404, {}];
    }
  }
}
