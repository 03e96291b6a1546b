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

/** Time after a failed try during which no other is made, in milliseconds. */
const DIAL_BACKOFF_MS = 100;
/** Longest time between two dials of a peer that cannot be reached, in milliseconds. */
const MAX_BACKOFF_MS = 1_600;

/** What a {@linkcode LinkTable} needs. */
export interface LinkTableOptions {
  instanceId: string;
  incarnation: string;
  failureDomain: string;
  dialer: Dialer;
  services: LinkServices;
  /** Called with each link once it can carry attempts. */
  onOpen: (link: PeerLink) => void;
}

/** The links of one daemon to its peers, opened when first needed. */
export class LinkTable implements PeerDirectory {
  readonly #options: LinkTableOptions;
  readonly #links = new Map<string, Set<PeerLink>>();
  readonly #dialing = new Map<string, Promise<Result<PeerPort, Refusal>>>();
  readonly #failures = new Map<string, { atMs: number; inRow: number }>();
  readonly #own: PeerPort;

  /** @param options See {@linkcode LinkTableOptions}. */
  constructor(options: LinkTableOptions) {
    this.#options = options;
    this.#own = ownPort(options.services, options.incarnation);
  }

  /** @returns All open links. */
  get links(): PeerLink[] {
    return [...this.#links.values()].flatMap((links) => [...links]);
  }

  async open(instance: Instance): Promise<Result<PeerPort, Refusal>> {
    if (instance.id === this.#options.instanceId) return ok(this.#own);
    const link = this.find(instance.id);
    if (link) return ok(link);
    const dialing = this.#dialing.get(instance.id);
    if (dialing) return dialing;
    if (this.#isBackingOff(instance.id)) return err(unreachable(instance, 'tried a moment ago'));
    const opening = this.#dial(instance).finally(() => {
      this.#dialing.delete(instance.id);
    });
    this.#dialing.set(instance.id, opening);
    return opening;
  }

  /**
   * @param instanceId Name of an instance.
   * @returns An open link to its daemon, if there is one.
   */
  find(instanceId: string): PeerLink | undefined {
    for (const link of this.#links.get(instanceId) ?? []) {
      if (link.isOpen) return link;
    }
    return undefined;
  }

  /**
   * Serves a connection that a peer has opened, until it ends.
   *
   * @param channel The connection.
   */
  async accept(channel: FrameChannel): Promise<void> {
    const greeted = await performHandshake(channel, this.#hello(), this.#options.services.timer);
    if (greeted.isErr()) {
      this.#options.services.log.write(Event.LinkRejected, { detail: greeted.error.detail });
      return;
    }
    await this.#run(this.#add(channel, greeted.value, false));
  }

  /** Ends all links at once; attempts under way count as lost. */
  terminateAll(): void {
    for (const link of this.links) link.terminate();
  }

  /** Ends all links once what was sent before is flushed. */
  closeAll(): void {
    for (const link of this.links) link.close();
  }

  async #dial(instance: Instance): Promise<Result<PeerPort, Refusal>> {
    const { dialer, services } = this.#options;
    const dialed = await dialer.dial(instance.peerAddress);
    if (dialed.isErr()) return this.#fail(instance, dialed.error.detail);
    const greeted = await performHandshake(dialed.value, this.#hello(), services.timer);
    if (greeted.isErr()) return this.#fail(instance, greeted.error.detail);
    const { instanceId } = greeted.value;
    if (instanceId !== instance.id) {
      dialed.value.terminate();
      return this.#fail(instance, `expected instance "${instance.id}", got "${instanceId}"`);
    }
    const link = this.#add(dialed.value, greeted.value, true);
    void this.#run(link);
    return ok(link);
  }

  #fail(instance: Instance, detail: string): Result<PeerPort, Refusal> {
    const inRow = (this.#failures.get(instance.id)?.inRow ?? 0) + 1;
    this.#failures.set(instance.id, { atMs: this.#options.services.timer.now(), inRow });
    return err(unreachable(instance, detail));
  }

  #isBackingOff(instanceId: string): boolean {
    const failed = this.#failures.get(instanceId);
    if (!failed) return false;
    const backoffMs = Math.min(MAX_BACKOFF_MS, DIAL_BACKOFF_MS * 2 ** (failed.inRow - 1));
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

  #hello(): HelloFrame {
    const { instanceId, incarnation, failureDomain } = this.#options;
    const protocol = PROTOCOL_VERSION;
    return { kind: FrameKind.Hello, protocol, instanceId, incarnation, failureDomain };
  }
}

/** The way to this daemon itself, which needs no link. */
function ownPort(roles: AttemptHandlers, incarnation: string): PeerPort {
  return {
    incarnation,
    send: (attempt) => executeAttempt(attempt, roles),
    settle: (id, deadline) => roles.guard.settle(id, deadline),
  };
}

function unreachable(instance: Instance, detail: string): Refusal {
  return makeNotRunRefusal(
    RefusalReason.TargetDown,
    `instance "${instance.id}" cannot be reached: ${detail}`,
  );
}
