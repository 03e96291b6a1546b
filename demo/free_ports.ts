import { createServer, type AddressInfo, type Server } from 'node:net';

/**
 * @param count Number of ports.
 * @returns Ports of the loopback interface that were free a moment ago.
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
