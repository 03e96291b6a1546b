/* eslint-disable no-restricted-properties, no-restricted-syntax */
/**
 * A small deployment: the store, and machines with backends and daemons, on loopback addresses.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import type { RequestListener } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Machine, findPorts, sleep } from './machine.js';
import { Store } from './store.js';

/** Host of all routes. */
export const HOST = 'hulo84.example';
/** Time for which a backend is cold after a start during traffic, in milliseconds. */
export const COLD_START_MS = 3_000;
/** Slots of each backend. */
export const SLOTS = 6;

/** A route, as the operators define it. */
export interface RouteSpec {
  name: string;
  prefix: string;
  kind: 'safe' | 'unsafe';
  service: string;
  timeout: string;
  target_latency: string;
  max_attempts: number;
}

/** A backend's id and when it was born. */
export interface Run {
  id: string;
  born: number;
}

/** Options of {@linkcode Deployment.start}. */
export interface DeploymentOptions {
  /** Routes of the first configuration; written later by the caller if absent. */
  routes?: readonly RouteSpec[];
  machines: readonly { service: string; zone: string }[];
  /**
   * Makes the listener of a backend.
   *
   * @param id The backend's id.
   */
  makeBackend: (id: string) => RequestListener;
}

/** A small deployment. */
export class Deployment {
  readonly store: Store;
  readonly machines: readonly Machine[];
  readonly folder: string;
  readonly #lines: { atMs: number; text: string }[] = [];
  readonly #startMs = Date.now();

  private constructor(store: Store, machines: readonly Machine[], folder: string) {
    this.store = store;
    this.machines = machines;
    this.folder = folder;
  }

  /**
   * Starts all machines and, if they have a configuration, waits until their daemons are ready and warm.
   *
   * @param options See {@linkcode DeploymentOptions}.
   * @returns The deployment.
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    const store = await Store.listen(options.machines.length);
    const ports = await findPorts();
    const machines = options.machines.map(
      (each, index) =>
        new Machine({
          ...each,
          number: index + 1,
          ports,
          store: store.addressFor(index + 1),
          folder,
        }),
    );
    const deployment = new Deployment(store, machines, folder);
    const services = [...new Set(options.machines.map(({ service }) => service))];
    if (options.routes) store.put('op/config', makeConfiguration(1, options.routes, services));
    for (const machine of machines) {
      const run = { id: `i-${machine.options.number}`, born: Date.now() };
      await machine.startBackend(options.makeBackend(run.id));
      deployment.register(machine, run);
      machine.startDaemon();
    }
    if (!options.routes) return deployment;
    const ready = await Promise.all(machines.map((each) => each.waitUntilReady()));
    if (!ready.every(Boolean)) {
      await deployment.close();
      throw new Error('a daemon did not become ready');
    }
    await sleep(4_000);
    return deployment;
  }

  /**
   * Writes the entry of a backend, as the backend does.
   *
   * @param machine Its machine.
   * @param run Its id and time of birth.
   * @param coldMs Time for which it stays cold, in milliseconds.
   */
  register(machine: Machine, { id, born }: Run, coldMs = 0): void {
    const { service, zone, ports } = machine.options;
    this.store.put(`servers/${id}`, {
      service,
      address: `${machine.ip}:${ports.app}`,
      zone,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_remaining: `${coldMs}ms`,
      sequence: 1,
      born,
    });
  }

  /**
   * Adds a line to the record.
   *
   * @param text What happened.
   */
  note(text: string): void {
    this.noteAt(Date.now(), text);
  }

  /**
   * Adds a line to the record for something that happened earlier.
   *
   * @param atMs When it happened, in Unix milliseconds.
   * @param text What happened.
   */
  noteAt(atMs: number, text: string): void {
    this.#lines.push({ atMs: atMs - this.#startMs, text });
  }

  /** Ends everything that was started. */
  async close(): Promise<void> {
    await Promise.all(this.machines.map((each) => each.close()));
    this.store.close();
    const lines = this.#lines.sort((a, b) => a.atMs - b.atMs);
    const text = lines
      .map((line) => `${String(line.atMs).padStart(6)} ms  ${line.text}\n`)
      .join('');
    if (process.env.RECORD !== undefined) writeFileSync(process.env.RECORD, text);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true });
    else process.stderr.write(`logs: ${this.folder}\n`);
  }
}

/**
 * Makes the operators' configuration.
 *
 * @param version Its version.
 * @param routes Its routes.
 * @param services Its services.
 * @returns The value of `op/config`.
 */
export function makeConfiguration(
  version: number,
  routes: readonly RouteSpec[],
  services: readonly string[],
): object {
  const resources = [
    ...routes.map(({ name, ...spec }) => ({
      resource_type: 'routes',
      metadata: { name },
      spec: { host: HOST, priority: 1, allowed_regions: [], ...spec },
    })),
    ...services.map((name) => ({
      resource_type: 'services',
      metadata: { name },
      spec: {
        health_path: '/health',
        max_connections: 260,
        protocol: 'h1',
        tls: false,
        cold_start: '3s',
        cold_per_s: 8.6,
      },
    })),
    {
      resource_type: 'limits',
      metadata: {},
      spec: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
    },
  ];
  return { version: version.toString(16).padStart(8, '0'), resources };
}
