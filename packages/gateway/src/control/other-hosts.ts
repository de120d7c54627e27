/**
 * One question to every other listed host.
 */
import type { GatewayBoard, HostEntry } from '../board.js';
import type { PeerCalls } from './peer-calls.js';

/** Asks the other hosts on the board. */
export class OtherHosts {
  constructor(
    private readonly board: GatewayBoard,
    private readonly calls: PeerCalls,
  ) {}

  /** The hosts listed now, without this one. */
  get entries(): readonly HostEntry[] {
    const { board } = this;
    return [...board.hosts.values()].filter((host) => host.host !== board.host);
  }

  /**
   * Asks every one; tells of each whether it answered. Nothing but an answer shows that a host is
   * done: a cut can look like a process that is gone.
   */
  askAll(
    build: Parameters<PeerCalls['ask']>[1],
    timeoutMs: number,
    onAnswer: () => void = () => undefined,
  ): Promise<readonly boolean[]> {
    return Promise.all(
      this.entries.map(async (host) => {
        const answer = await this.calls.ask(host, build, timeoutMs);
        if (answer.isOk()) onAnswer();
        return answer.isOk();
      }),
    );
  }
}
