import {
  EXAMPLE_DOMAINS,
  PlatformState,
  InProcessCluster,
  makeExampleConfiguration,
  type FrameInTransit,
  type ClusterMember,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { cutRegions } from './fault.ts';

/** Where on a version's path a fault is caused. */
export enum DistributionStep {
  /** The version is readable at the platform. */
  Published = 'published',
  /** A watcher passes it on to a follower. */
  PassedOn = 'passed-on',
  /** Every daemon has it; a further one is published afterwards. */
  InForce = 'in-force',
}

/** What can go wrong on a version's path. */
export enum DistributionFault {
  None = 'none',
  ServiceDown = 'service-down',
  ServiceStale = 'service-stale',
  WatcherCrash = 'watcher-crash',
  WatcherPause = 'watcher-pause',
  BothWatchersCrash = 'both-watchers-crash',
  FollowerCrash = 'follower-crash',
  FollowerPause = 'follower-pause',
  RegionCut = 'region-cut',
  FrameLost = 'frame-lost',
  FrameDoubled = 'frame-doubled',
  FrameLate = 'frame-late',
}

/** One case of a version's path. */
export interface DistributionCase {
  step: DistributionStep;
  fault: DistributionFault;
  seed: number;
}

/** How a case ended. */
export interface DistributionResult {
  /** Daemons that the version had not reached 9 s after the fault was over. */
  behind: number;
  /** Times that a daemon's version in force fell within one run. */
  reverted: number;
  /** Time after the fault until the version was in force everywhere, in milliseconds. */
  inForceMs: number;
}

const FAULT_MS = 3_000;
const LIMIT_MS = 9_000;
const POLL_MS = 50;
const LATE_MS = 700;
const DOMAIN = 'centro-a';
const DAEMONS_PER_DOMAIN = 4;

/**
 * Publishes a version while a fault is caused, and judges by what each daemon has in force.
 *
 * @param each The case.
 * @returns How it ended.
 */
export async function runDistributionCase(each: DistributionCase): Promise<DistributionResult> {
  const world = await startWorld();
  const run = new SpreadRun(world, each);
  return run.play();
}

function startWorld(): Promise<InProcessCluster> {
  const placings = EXAMPLE_DOMAINS.flatMap((failureDomain) =>
    Array.from({ length: DAEMONS_PER_DOMAIN }, (_, index) => ({
      id: `boards-${failureDomain}-${index}`,
      pool: 'boards',
      failureDomain,
    })),
  );
  return InProcessCluster.start({ configuration: makeExampleConfiguration(), instances: placings });
}

class SpreadRun {
  readonly #world: InProcessCluster;
  readonly #case: DistributionCase;
  readonly #random: SeededRandom;
  readonly #seen = new Map<string, number>();
  #reverted = 0;
  #isArmed = false;

  constructor(world: InProcessCluster, each: DistributionCase) {
    this.#world = world;
    this.#case = each;
    this.#random = new SeededRandom(each.seed);
  }

  async play(): Promise<DistributionResult> {
    const { step } = this.#case;
    await this.#advance(this.#random.below(2_000));
    this.#world.network.filter = (transit) => this.#filter(transit);
    if (step === DistributionStep.InForce) {
      this.#publish(2);
      await this.#advance(LIMIT_MS);
      this.#cause();
      this.#publish(3);
    } else {
      this.#isArmed = step === DistributionStep.PassedOn;
      this.#publish(2);
      if (step === DistributionStep.Published) this.#cause();
    }
    await this.#advance(FAULT_MS);
    const wanted = step === DistributionStep.InForce ? 3 : 2;
    const inForceMs = await this.#untilInForce(wanted);
    return { behind: this.#behind(wanted), reverted: this.#reverted, inForceMs };
  }

  #publish(version: number): void {
    this.#world.platform.publish(makeExampleConfiguration({ version }));
  }

  async #advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += POLL_MS) {
      await this.#world.timer.advance(POLL_MS);
      this.#look();
    }
  }

  async #untilInForce(version: number): Promise<number> {
    let tookMs = 0;
    while (tookMs < LIMIT_MS && this.#behind(version) > 0) {
      await this.#advance(POLL_MS);
      tookMs += POLL_MS;
    }
    return tookMs;
  }

  #behind(version: number): number {
    const statuses = this.#world.members.map(({ daemon }) => daemon.status);
    return statuses.filter(({ configurationVersion }) => configurationVersion < version).length;
  }

  #look(): void {
    for (const { daemon } of this.#world.members) {
      const { incarnation, configurationVersion } = daemon.status;
      if (configurationVersion < (this.#seen.get(incarnation) ?? 0)) this.#reverted += 1;
      this.#seen.set(incarnation, configurationVersion);
    }
  }

  #filter({ frame }: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { fault } = this.#case;
    if (!this.#isArmed || frame.kind !== FrameKind.Document) return [{ frame, delayMs: 0 }];
    this.#isArmed = false;
    this.#cause();
    if (fault === DistributionFault.FrameLost) return [];
    if (fault === DistributionFault.FrameLate) return [{ frame, delayMs: LATE_MS }];
    const sent = [{ frame, delayMs: 0 }];
    if (fault === DistributionFault.FrameDoubled) sent.push({ frame, delayMs: LATE_MS });
    return sent;
  }

  #cause(): void {
    const { platform, timer } = this.#world;
    const [watcher, otherWatcher] = this.#membersWhere(true);
    const [follower] = this.#membersWhere(false);
    switch (this.#case.fault) {
      case DistributionFault.ServiceDown:
      case DistributionFault.ServiceStale:
        platform.setState(
          this.#case.fault === DistributionFault.ServiceDown
            ? PlatformState.Down
            : PlatformState.Stale,
        );
        timer.after(FAULT_MS, () => {
          platform.setState(PlatformState.Up);
        });
        break;
      case DistributionFault.WatcherCrash:
        this.#restart(watcher);
        break;
      case DistributionFault.BothWatchersCrash:
        this.#restart(watcher);
        this.#restart(otherWatcher);
        break;
      case DistributionFault.FollowerCrash:
        this.#restart(follower);
        break;
      case DistributionFault.WatcherPause:
        this.#pause(watcher);
        break;
      case DistributionFault.FollowerPause:
        this.#pause(follower);
        break;
      case DistributionFault.RegionCut:
        cutRegions(this.#world);
        break;
      default:
        break;
    }
  }

  #membersWhere(isWatcher: boolean): ClusterMember[] {
    return this.#world.members.filter(
      ({ instance, daemon }) =>
        instance.failureDomain === DOMAIN && daemon.status.isWatcher === isWatcher,
    );
  }

  #restart(member: ClusterMember | undefined): void {
    if (member) this.#world.restartDaemon(member.instance.id);
  }

  #pause(member: ClusterMember | undefined): void {
    member?.clock.pause();
    this.#world.timer.after(FAULT_MS, () => {
      member?.clock.resume();
    });
  }
}
