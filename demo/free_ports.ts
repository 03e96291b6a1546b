import { createServer, type AddressInfo, type Server } from 'node:net';

/**
 * Finds free ports of the loopback interface. They are not reserved: another process may bind them
 * before the caller does.
 *
 * @param count Number of ports.
 * @returns The ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenAnywhere));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function listenAnywhere(): Promise<Server> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
