/**
 * Ports for servers of a test whose numbers have to be known before they listen.
 */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** A port of a loopback address that was free a moment ago. */
export async function freePort(address = LOOPBACK): Promise<number> {
  const [port = 0] = await freePorts(1, address);
  return port;
}

/** Different ports of a loopback address that were all free a moment ago. */
export async function freePorts(count: number, address = LOOPBACK): Promise<readonly number[]> {
  // All are held until the last one is chosen: one that was given back may be given out again.
  const servers = await Promise.all(Array.from({ length: count }, () => listen(address)));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

async function listen(address: string): Promise<Server> {
  const server = createServer();
  server.listen(0, address);
  await once(server, 'listening');
  return server;
}

async function close(server: Server): Promise<void> {
  server.close();
  await once(server, 'close');
}
