/**
 * Allocates ports for test servers whose port numbers must be known before they listen.
 */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Returns a port of a loopback address that was free at the time of the call. */
export async function freePort(address = LOOPBACK): Promise<number> {
  const [port = 0] = await freePorts(1, address);
  return port;
}

/** Returns distinct ports of a loopback address that were free at the time of the call. */
export async function freePorts(count: number, address = LOOPBACK): Promise<readonly number[]> {
  // Keeps all ports bound until the last one is chosen: the system may assign a released port again.
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
