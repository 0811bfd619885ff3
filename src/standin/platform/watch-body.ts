/** The body of a watch: lines that leave at once, compressed when the caller accepts it. */
import type { Writable } from 'node:stream';
import { constants, createGzip, type Gzip } from 'node:zlib';
import type { FastifyReply, FastifyRequest } from 'fastify';

export class WatchBody {
  private readonly gzip: Gzip | undefined;
  private readonly target: Writable;

  constructor(request: FastifyRequest, reply: FastifyReply) {
    const compressed = String(request.headers['accept-encoding'] ?? '').includes('gzip');
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'application/x-ndjson',
      ...(compressed ? { 'content-encoding': 'gzip' } : {}),
    });
    this.gzip = compressed ? createGzip() : undefined;
    this.gzip?.pipe(reply.raw);
    this.target = this.gzip ?? reply.raw;
    reply.raw.on('close', () => this.gzip?.destroy());
  }

  /** Sends one line; an empty one is a heartbeat. */
  writeLine(line: string): void {
    if (this.target.destroyed) return;
    this.target.write(`${line}\n`);
    this.gzip?.flush(constants.Z_SYNC_FLUSH);
  }
}
