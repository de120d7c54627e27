/**
 * Loopback addresses for the hosts of one deployment of a test. On the common one, an outgoing connection may take a
 * port that was chosen for a host before the host listens.
 */
import { randomInt } from 'node:crypto';

/** Highest value of a byte of an address that is used. */
const LAST_BYTE = 254;

/** Addresses 127.x.y.1 and so on, with x and y drawn anew. */
export class LoopbackNetwork {
  private readonly prefix = `127.${randomInt(1, LAST_BYTE)}.${randomInt(LAST_BYTE)}`;

  /** Address of the host at an index. */
  address(index: number): string {
    return `${this.prefix}.${index + 1}`;
  }
}
