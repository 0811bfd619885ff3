/**
 * A stand-in for the platform's store: lists, watches and conditional writes. It has no faults of its own. Fields stand
 * in the order of the examples that `fleetbench wire` prints.
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout } from 'node:timers';

const PATH = /^\/api\/objects\/([a-z]+)(?:\/([^/]+))?(\/status)?$/;
const PAGE_SIZE = 500;
/** `history_s` of the settings. */
const HISTORY_MS = 20000;

export class Store {
  revision = 500;
  kinds = new Map();
  changes = [];
  waiters = new Set();
  /** Changes up to this revision are forgotten. */
  forgottenUpTo = 0;
  /** Bytes that stand in answers in place of a text, by that text. */
  rawSpecs = new Map();

  static async listen(ip) {
    const store = new Store();
    store.server = createServer((request, response) => void store.serve(request, response));
    await new Promise((resolve) => store.server.listen(0, ip, resolve));
    store.address = `${ip}:${store.server.address().port}`;
    return store;
  }

  async close() {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  objectsOf(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  /** Writes an object; returns true if it changed. `sameBut` names a field whose change does not count. */
  put(kind, name, spec, sameBut) {
    const objects = this.objectsOf(kind);
    const present = objects.get(name);
    const shapeOf = (value) => JSON.stringify({ ...value, ...(sameBut && { [sameBut]: 0 }) });
    if (present && shapeOf(present.spec) === shapeOf(spec)) {
      present.spec = spec;
      return false;
    }
    this.revision += 1;
    const made = present?.meta.made ?? this.revision;
    const meta = { name, revision: this.revision, made, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    objects.set(name, object);
    this.note(kind, object, false);
    return true;
  }

  /** Writes an entry whose spec is these bytes, as another writer may. */
  putRaw(kind, name, bytes) {
    const token = `raw-${this.revision}`;
    this.rawSpecs.set(token, bytes);
    this.put(kind, name, { token });
  }

  remove(kind, name) {
    const object = this.objectsOf(kind).get(name);
    if (!object) return;
    this.revision += 1;
    this.objectsOf(kind).delete(name);
    this.note(kind, object, true);
  }

  note(kind, object, gone) {
    const atMs = performance.now();
    this.changes.push({ kind, object: structuredCloneOf(object), gone, revision: this.revision, atMs });
    this.forgetOldChanges();
    for (const wake of [...this.waiters]) wake();
  }

  forgetOldChanges() {
    const nowMs = performance.now();
    while (this.changes.length > 0 && nowMs - this.changes[0].atMs > HISTORY_MS)
      this.forgottenUpTo = this.changes.shift().revision;
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, kind, name] = PATH.exec(url.pathname) ?? [];
    if (!kind) return this.answer(response, 404, {});
    if (request.method !== 'GET') return this.serveWrite({ kind, name, request, response });
    if (name) return this.serveObject(kind, name, response);
    const watch = url.searchParams.get('watch');
    if (watch === null) this.servePage(kind, url.searchParams.get('after'), response);
    else this.serveWatch(kind, Number(watch), Number(url.searchParams.get('wait_ms') ?? 0), response);
  }

  serveObject(kind, name, response) {
    const object = this.objectsOf(kind).get(decodeURIComponent(name));
    this.answer(response, object ? 200 : 404, object ?? {});
  }

  servePage(kind, after, response) {
    const objects = this.objectsOf(kind);
    const names = [...objects.keys()].sort().filter((name) => after === null || name > after);
    const items = names.slice(0, PAGE_SIZE).map((name) => objects.get(name));
    this.answer(response, 200, { items, more: names.length > PAGE_SIZE, at: this.revision });
  }

  serveWatch(kind, since, waitMs, response) {
    this.forgetOldChanges();
    if (since < this.forgottenUpTo) return this.answer(response, 410, {});
    const collect = () => this.changes.filter((change) => change.kind === kind && change.revision > since);
    const finish = () => {
      clearTimeout(timer);
      this.waiters.delete(wake);
      const events = collect().map(({ gone, object }) => ({ gone, object }));
      this.answer(response, 200, { events, at: this.revision });
    };
    const wake = () => {
      if (collect().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.waiters.add(wake);
    wake();
  }

  async serveWrite({ kind, name, request, response }) {
    const { meta, spec } = JSON.parse(await textOf(request));
    const isCreation = request.method === 'POST';
    const key = isCreation ? meta.name : decodeURIComponent(name);
    const present = this.objectsOf(kind).get(key);
    if (!isCreation && !present) return this.answer(response, 404, {});
    const isConflict = isCreation ? present : meta.revision && meta.revision !== present.meta.revision;
    if (isConflict) return this.answer(response, 409, present);
    this.put(kind, key, spec);
    this.answer(response, 200, this.objectsOf(kind).get(key));
  }

  answer(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(this.encodeBody(body));
  }

  /** Encodes a body as JSON, with the bytes of raw specs as they were written. */
  encodeBody(body) {
    let parts = [Buffer.from(JSON.stringify(body))];
    for (const [token, bytes] of this.rawSpecs) {
      parts = parts.flatMap((part) => replaceIn(part, Buffer.from(JSON.stringify({ token })), bytes));
    }
    return Buffer.concat(parts);
  }
}

function replaceIn(part, pattern, bytes) {
  const parts = [];
  let start = 0;
  for (let at = part.indexOf(pattern); at >= 0; at = part.indexOf(pattern, start)) {
    parts.push(part.subarray(start, at), bytes);
    start = at + pattern.length;
  }
  return [...parts, part.subarray(start)];
}

function structuredCloneOf(value) {
  return JSON.parse(JSON.stringify(value));
}

async function textOf(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}
