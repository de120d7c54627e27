/**
 * A port for a server of a test whose number has to be known before it listens.
 */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** A port of a loopback address that was free a moment ago. */
export async function freePort(address = LOOPBACK): Promise<number> {
  const server = createServer();
  server.listen(0, address);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
