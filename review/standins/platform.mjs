/**
 * Stand-in for the platform's metadata store and its call `POST /promotion`, as PROTOCOL describes them.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const LOOPBACK = '127.0.0.1';
const PAGE_ITEMS = 500;

export class Platform {
  constructor(record) {
    this.record = record;
    this.items = new Map();
    this.events = [];
    this.revision = 1;
    this.watchers = new Set();
    this.leases = new Map();
    this.nextLease = 1;
    /** Carries out a promotion; returns the HTTP status. */
    this.promote = () => 409;
    /** Delays the answer to a store call, milliseconds; by method and path. */
    this.delayOf = () => 0;
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, LOOPBACK, resolve));
    return this.server.address().port;
  }

  close() {
    for (const wake of [...this.watchers]) wake();
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a document for its owner: the operator or a backend. */
  put(key, document) {
    this.revision += 1;
    const value = Buffer.from(JSON.stringify(document)).toString('base64');
    this.write(key, value, 0, this.revision);
    this.wake();
  }

  /** Removes a document of an owner that has gone. */
  remove(key) {
    this.revision += 1;
    this.delete(key, this.revision);
    this.wake();
  }

  async serve(req, res) {
    const url = new URL(req.url, 'http://localhost');
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text === '' ? {} : JSON.parse(text);
    const delayMs = this.delayOf(req.method, url.pathname);
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
    const { status, json } = await this.answer(req, url, body);
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(json));
  }

  async answer(req, url, body) {
    const { pathname, searchParams } = url;
    if (pathname === '/promotion') return this.promotion(req, body);
    if (pathname === '/gladespool/kv-key') return this.read(searchParams.get('privateKey'));
    if (pathname === '/gladespool/kv-range') {
      return this.range(searchParams.get('pathPrefix') ?? '', searchParams.get('after') ?? '');
    }
    if (pathname === '/gladespool/kv-watch') {
      const prefix = searchParams.get('pathPrefix') ?? '';
      return this.watch(
        prefix,
        Number(searchParams.get('after')),
        Number(searchParams.get('waitMs')),
      );
    }
    if (pathname === '/gladespool/kv-txn') return this.change(body);
    if (pathname === '/gladespool/kv-lease') return this.grantLease(body);
    const keep = /^\/gladespool\/kv-keep\/(\d+)$/.exec(pathname);
    if (keep !== null) return this.keepLease(Number(keep[1]));
    const end = /^\/gladespool\/kv-lease-end\/(\d+)$/.exec(pathname);
    if (end !== null) return this.endLease(Number(end[1]));
    return { status: 404, json: {} };
  }

  promotion(req, body) {
    const holder = req.headers['gladespool-lease-holder'];
    const fence = req.headers['gladespool-fencing-token'];
    const status = this.promote(body.service, body.id, holder, Number(fence));
    this.record.add(
      `platform: POST /promotion ${body.id} by ${holder} fence ${fence} -> ${status}`,
    );
    return { status, json: {} };
  }

  read(key) {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, json: { atRevision: this.revision } };
    return { status: 200, json: { ...item, atRevision: this.revision } };
  }

  range(prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.sort().slice(0, PAGE_ITEMS);
    const items = page.map((key) => this.items.get(key));
    const json = { items, hasMore: keys.length > page.length, atRevision: this.revision };
    return { status: 200, json };
  }

  async watch(prefix, after, waitMs) {
    const pick = () =>
      this.events.filter((event) => event.revision > after && event.privateKey.startsWith(prefix));
    if (pick().length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.watchers.delete(check);
          resolve();
        };
        const check = () => {
          if (!this.server.listening || pick().length > 0) done();
        };
        const timer = setTimeout(done, waitMs);
        this.watchers.add(check);
      });
    }
    return { status: 200, json: { events: pick(), atRevision: this.revision } };
  }

  change({ expectedRevision = [], writes = [], remove = [] }) {
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (expectedRevision.some(({ privateKey, revision }) => revisionOf(privateKey) !== revision)) {
      const items = expectedRevision.map(({ privateKey }) => this.items.get(privateKey));
      return { status: 412, json: { items: items.filter((item) => item !== undefined) } };
    }
    if (writes.some(({ leaseId }) => leaseId !== 0 && !this.leases.has(leaseId))) {
      return { status: 404, json: {} };
    }
    this.revision += 1;
    const { revision } = this;
    for (const { privateKey, value, leaseId } of writes) {
      this.write(privateKey, value, leaseId, revision);
    }
    for (const key of remove) this.delete(key, revision);
    this.wake();
    return { status: 200, json: { revision } };
  }

  grantLease({ ttlMs }) {
    const leaseId = this.nextLease;
    this.nextLease += 1;
    const lease = { ttlMs, timer: undefined };
    this.leases.set(leaseId, lease);
    this.startLease(leaseId, lease);
    return { status: 200, json: { leaseId, ttlMs } };
  }

  keepLease(leaseId) {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { status: 404, json: {} };
    clearTimeout(lease.timer);
    this.startLease(leaseId, lease);
    return { status: 200, json: { ttlMs: lease.ttlMs } };
  }

  startLease(leaseId, lease) {
    lease.timer = setTimeout(() => this.endLease(leaseId), lease.ttlMs);
  }

  endLease(leaseId) {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { status: 404, json: {} };
    clearTimeout(lease.timer);
    this.leases.delete(leaseId);
    this.revision += 1;
    for (const item of [...this.items.values()]) {
      if (item.leaseId === leaseId) this.delete(item.privateKey, this.revision);
    }
    this.wake();
    return { status: 200, json: {} };
  }

  write(privateKey, value, leaseId, revision) {
    const createdRevision = this.items.get(privateKey)?.createdRevision ?? revision;
    const item = { privateKey, value, revision, createdRevision, leaseId };
    this.items.set(privateKey, item);
    this.events.push(item);
  }

  delete(privateKey, revision) {
    if (!this.items.delete(privateKey)) return;
    this.events.push({ privateKey, revision, deleted: true });
  }

  wake() {
    for (const check of [...this.watchers]) check();
  }
}
