import { err, ok, type Result } from 'neverthrow';
import { RefusalReason, makeNotRunRefusal, type Refusal } from '../contract/mod.ts';
import type { PeerDirectory, PeerPort } from '../entry/mod.ts';
import { Event } from '../event_log/mod.ts';
import type { Instance } from '../instance/mod.ts';
import type { Dialer } from './dialer.ts';
import { executeAttempt, type AttemptHandlers } from './execute_attempt.ts';
import { FrameKind, PROTOCOL_VERSION, type HelloFrame } from './frame.ts';
import type { FrameChannel } from './frame_channel.ts';
import { performHandshake } from './handshake.ts';
import { PeerLink, type LinkServices } from './peer_link.ts';

/** Delay after the first failed dial of a peer, in milliseconds; doubles with each further failure. */
const DIAL_BACKOFF_MS = 100;
/** Longest delay between two dials of an unreachable peer, in milliseconds. */
const MAX_BACKOFF_MS = 1_600;

/** Options of {@linkcode LinkTable}. */
export interface LinkTableOptions {
  instanceId: string;
  incarnation: string;
  failureDomain: string;
  dialer: Dialer;
  services: LinkServices;
  /** Called with each link once it can carry attempts. */
  onOpen: (link: PeerLink) => void;
}

/** The links of one daemon to its peers, opened on first use. */
export class LinkTable implements PeerDirectory {
  readonly #options: LinkTableOptions;
  readonly #links = new Map<string, Set<PeerLink>>();
  readonly #dialing = new Map<string, Promise<Result<PeerPort, Refusal>>>();
  readonly #failures = new Map<string, { atMs: number; count: number }>();
  readonly #localPort: PeerPort;

  /** @param options See {@linkcode LinkTableOptions}. */
  constructor(options: LinkTableOptions) {
    this.#options = options;
    this.#localPort = makeLocalPort(options.services, options.incarnation);
  }

  /** @returns All open links. */
  get links(): PeerLink[] {
    return [...this.#links.values()].flatMap((links) => [...links]);
  }

  async open(instance: Instance): Promise<Result<PeerPort, Refusal>> {
    if (instance.id === this.#options.instanceId) return ok(this.#localPort);
    const link = this.find(instance.id);
    if (link) return ok(link);
    const dialing = this.#dialing.get(instance.id);
    if (dialing) return dialing;
    if (this.#isBackingOff(instance.id))
      return err(makeUnreachableRefusal(instance, 'tried a moment ago'));
    const opening = this.#dial(instance).finally(() => {
      this.#dialing.delete(instance.id);
    });
    this.#dialing.set(instance.id, opening);
    return opening;
  }

  /**
   * Finds an open link to a peer.
   *
   * @param instanceId Identifier of the peer's instance.
   * @returns An open link to its daemon, if there is one.
   */
  find(instanceId: string): PeerLink | undefined {
    for (const link of this.#links.get(instanceId) ?? []) {
      if (link.isOpen) return link;
    }
    return undefined;
  }

  /**
   * Serves a connection that a peer has opened, until the connection ends.
   *
   * @param channel The connection.
   */
  async accept(channel: FrameChannel): Promise<void> {
    const handshake = await performHandshake(
      channel,
      this.#makeHello(),
      this.#options.services.timer,
    );
    if (handshake.isErr()) {
      this.#options.services.log.write(Event.LinkRejected, { detail: handshake.error.detail });
      return;
    }
    await this.#run(this.#add(channel, handshake.value, false));
  }

  /** Terminates all links; attempts in flight count as lost. */
  terminateAll(): void {
    for (const link of this.links) link.terminate();
  }

  /** Closes all links after flushing the frames sent before. */
  closeAll(): void {
    for (const link of this.links) link.close();
  }

  async #dial(instance: Instance): Promise<Result<PeerPort, Refusal>> {
    const { dialer, services } = this.#options;
    const dialed = await dialer.dial(instance.peerAddress);
    if (dialed.isErr()) return this.#recordFailure(instance, dialed.error.detail);
    const handshake = await performHandshake(dialed.value, this.#makeHello(), services.timer);
    if (handshake.isErr()) return this.#recordFailure(instance, handshake.error.detail);
    const { instanceId } = handshake.value;
    if (instanceId !== instance.id) {
      dialed.value.terminate();
      return this.#recordFailure(
        instance,
        `expected instance "${instance.id}", got "${instanceId}"`,
      );
    }
    const link = this.#add(dialed.value, handshake.value, true);
    void this.#run(link);
    return ok(link);
  }

  #recordFailure(instance: Instance, detail: string): Result<PeerPort, Refusal> {
    const count = (this.#failures.get(instance.id)?.count ?? 0) + 1;
    this.#failures.set(instance.id, {
      atMs: this.#options.services.timer.now(),
      count,
    });
    return err(makeUnreachableRefusal(instance, detail));
  }

  #isBackingOff(instanceId: string): boolean {
    const failed = this.#failures.get(instanceId);
    if (!failed) return false;
    const backoffMs = Math.min(MAX_BACKOFF_MS, DIAL_BACKOFF_MS * 2 ** (failed.count - 1));
    return this.#options.services.timer.now() - failed.atMs < backoffMs;
  }

  #add(channel: FrameChannel, peer: HelloFrame, isDialer: boolean): PeerLink {
    const { services, onOpen } = this.#options;
    this.#failures.delete(peer.instanceId);
    const link = new PeerLink({ channel, peer, isDialer, services });
    const links = this.#links.get(peer.instanceId) ?? new Set();
    links.add(link);
    this.#links.set(peer.instanceId, links);
    const { instanceId, incarnation } = peer;
    services.log.write(Event.LinkOpened, { peer: instanceId, incarnation, dialed: isDialer });
    onOpen(link);
    return link;
  }

  async #run(link: PeerLink): Promise<void> {
    await link.run();
    const { instanceId } = link.peer;
    const links = this.#links.get(instanceId);
    links?.delete(link);
    if (links?.size === 0) this.#links.delete(instanceId);
    const { sent, received } = link.bytes;
    this.#options.services.log.write(Event.LinkClosed, { peer: instanceId, sent, received });
  }

  #makeHello(): HelloFrame {
    const { instanceId, incarnation, failureDomain } = this.#options;
    const protocol = PROTOCOL_VERSION;
    return { kind: FrameKind.Hello, protocol, instanceId, incarnation, failureDomain };
  }
}

/** Makes the port to this daemon itself, which needs no link. */
function makeLocalPort(handlers: AttemptHandlers, incarnation: string): PeerPort {
  return {
    incarnation,
    send: (attempt) => executeAttempt(attempt, handlers),
    settle: (id, deadline) => handlers.guard.settle(id, deadline),
  };
}

function makeUnreachableRefusal(instance: Instance, detail: string): Refusal {
  return makeNotRunRefusal(
    RefusalReason.TargetDown,
    `instance "${instance.id}" cannot be reached: ${detail}`,
  );
}
