/**
 * Stand-in for a client: one session on one host, one message at a time. What it sends and gets is recorded.
 */
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

export class Client {
  constructor(name, record) {
    this.name = name;
    this.record = record;
    this.buffered = '';
    this.lines = [];
    this.onLine = () => undefined;
    this.closed = false;
    this.count = 0;
    this.state = 'I';
    /** What was asked and what came back: `{ id, text, code, signature, rows, state }`. */
    this.answers = [];
  }

  /** Opens the session; false if the host refuses it. */
  async start(ip, port, database) {
    this.host = `${ip}:${port}`;
    this.socket = connect(port, ip);
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => {
      this.buffered += chunk.toString('latin1');
      const lines = this.buffered.split('\r\n');
      this.buffered = lines.pop();
      this.lines.push(...lines);
      this.onLine();
    });
    this.socket.on('error', () => this.socket.destroy());
    this.socket.on('close', () => {
      this.closed = true;
      this.onLine();
    });
    this.socket.write(`STARTUP ${database} ${this.name}\r\n`);
    const line = await this.nextLine(2000);
    return line?.startsWith('READY') === true;
  }

  /** Sends a statement under a new id and returns its answer; `code` is `CLOSED` if the connection ends first. */
  async query(text, timeoutMs = 10_000) {
    this.count += 1;
    const id = `${this.name}-${this.count}`;
    const answer = { id, text, rows: [], code: undefined, signature: undefined, state: undefined };
    answer.sentAt = this.record.now();
    this.answers.push(answer);
    this.record.add(`client ${this.name}: sends ${id} ${text}`);
    if (this.closed) answer.code = 'CLOSED';
    else this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
    while (answer.state === undefined && answer.code !== 'CLOSED') {
      const line = await this.nextLine(timeoutMs);
      if (line === undefined) {
        answer.code = this.closed ? 'CLOSED' : 'SILENT';
        break;
      }
      const [word, rest] = splitWord(line);
      if (word === 'DATAROW') answer.rows.push(rest);
      if (word === 'COMPLETE') answer.signature = rest;
      if (word === 'ERROR') [answer.code, answer.detail] = splitWord(rest);
      if (word === 'READY') answer.state = rest.split(' ')[0];
    }
    answer.endedAt = this.record.now();
    this.state = answer.state ?? this.state;
    const result = answer.code ?? `COMPLETE ${answer.signature}`;
    const detail = answer.detail === undefined ? '' : ` (${answer.detail})`;
    this.record.add(
      `client ${this.name}: gets ${id} ${result}${detail} state ${answer.state ?? '-'}`,
    );
    return answer;
  }

  close() {
    this.socket?.destroy();
  }

  async nextLine(timeoutMs) {
    while (this.lines.length === 0 && !this.closed) {
      const isLate = await new Promise((resolve) => {
        const timer = setTimeout(() => resolve(true), timeoutMs);
        this.onLine = () => {
          clearTimeout(timer);
          resolve(false);
        };
      });
      if (isLate) return undefined;
    }
    return this.lines.shift();
  }
}

function splitWord(text) {
  const space = text.indexOf(' ');
  return space < 0 ? [text, ''] : [text.slice(0, space), text.slice(space + 1)];
}
