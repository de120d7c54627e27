/**
 * Loopback addresses for the hosts of one test deployment. On 127.0.0.1, an outgoing connection could take the port
 * that was chosen for a host before that host listens on it.
 */
import { randomInt } from 'node:crypto';

/** Highest value used for a byte of an address. */
const LAST_BYTE = 254;

/** Addresses 127.x.y.1, 127.x.y.2 and so on, with random x and y for each instance. */
export class LoopbackNetwork {
  private readonly prefix = `127.${randomInt(1, LAST_BYTE)}.${randomInt(LAST_BYTE)}`;

  /** Returns the address of the host at an index. */
  address(index: number): string {
    return `${this.prefix}.${index + 1}`;
  }
}
