import {
  PlatformState,
  InProcessCluster,
  makeExampleConfiguration,
  makeExampleInstances,
  type FrameInTransit,
  type ClusterMember,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { cutRegions } from './fault.ts';

/** Step of the distribution of a version at which a fault is caused. */
export enum DistributionStep {
  /** The version is available at the platform. */
  Published = 'published',
  /** A watcher sends the version to a follower. */
  PassedOn = 'passed-on',
  /** The version is in force at every daemon; a newer one is published after the fault. */
  InForce = 'in-force',
}

/** Fault during the distribution of a version. */
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

/** A case of the distribution of a version. */
export interface DistributionCase {
  step: DistributionStep;
  fault: DistributionFault;
  seed: number;
}

/** Result of a case. */
export interface DistributionResult {
  /** Daemons that had not applied the version 9 s after the end of the fault. */
  behind: number;
  /** Times that a daemon's version in force decreased within one incarnation. */
  reverted: number;
  /** Time from the end of the fault until the version was in force everywhere, in milliseconds. */
  inForceMs: number;
}

const FAULT_DURATION_MS = 3_000;
const IN_FORCE_LIMIT_MS = 9_000;
const CHECK_INTERVAL_MS = 50;
const FRAME_DELAY_MS = 700;
const FAULT_DOMAIN = 'centro-a';
const DAEMONS_PER_DOMAIN = 4;

/**
 * Publishes a version while a fault is caused, and checks which version each daemon has in force.
 *
 * @param testCase The case.
 * @returns Its result.
 */
export async function runDistributionCase(testCase: DistributionCase): Promise<DistributionResult> {
  const cluster = await startCluster();
  const distributionRun = new DistributionRun(cluster, testCase);
  return distributionRun.run();
}

function startCluster(): Promise<InProcessCluster> {
  const instances = makeExampleInstances(DAEMONS_PER_DOMAIN);
  return InProcessCluster.start({ configuration: makeExampleConfiguration(), instances });
}

class DistributionRun {
  readonly #cluster: InProcessCluster;
  readonly #case: DistributionCase;
  readonly #random: SeededRandom;
  readonly #lastVersions = new Map<string, number>();
  #reversions = 0;
  #isFaultPending = false;

  constructor(cluster: InProcessCluster, testCase: DistributionCase) {
    this.#cluster = cluster;
    this.#case = testCase;
    this.#random = new SeededRandom(testCase.seed);
  }

  async run(): Promise<DistributionResult> {
    const { step } = this.#case;
    await this.#advance(this.#random.below(2_000));
    this.#cluster.network.filter = (transit) => this.#interceptFrame(transit);
    if (step === DistributionStep.InForce) {
      this.#publish(2);
      await this.#advance(IN_FORCE_LIMIT_MS);
      this.#causeFault();
      this.#publish(3);
    } else {
      this.#isFaultPending = step === DistributionStep.PassedOn;
      this.#publish(2);
      if (step === DistributionStep.Published) this.#causeFault();
    }
    await this.#advance(FAULT_DURATION_MS);
    const newestVersion = step === DistributionStep.InForce ? 3 : 2;
    const inForceMs = await this.#waitUntilInForce(newestVersion);
    return { behind: this.#countBehind(newestVersion), reverted: this.#reversions, inForceMs };
  }

  #publish(version: number): void {
    this.#cluster.platform.publish(makeExampleConfiguration({ version }));
  }

  async #advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CHECK_INTERVAL_MS) {
      await this.#cluster.timer.advance(CHECK_INTERVAL_MS);
      this.#checkVersions();
    }
  }

  async #waitUntilInForce(version: number): Promise<number> {
    let elapsedMs = 0;
    while (elapsedMs < IN_FORCE_LIMIT_MS && this.#countBehind(version) > 0) {
      await this.#advance(CHECK_INTERVAL_MS);
      elapsedMs += CHECK_INTERVAL_MS;
    }
    return elapsedMs;
  }

  #countBehind(version: number): number {
    const statuses = this.#cluster.members.map(({ daemon }) => daemon.status);
    return statuses.filter(({ configurationVersion }) => configurationVersion < version).length;
  }

  #checkVersions(): void {
    for (const { daemon } of this.#cluster.members) {
      const { incarnation, configurationVersion } = daemon.status;
      if (configurationVersion < (this.#lastVersions.get(incarnation) ?? 0)) this.#reversions += 1;
      this.#lastVersions.set(incarnation, configurationVersion);
    }
  }

  #interceptFrame({
    frame,
  }: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { fault } = this.#case;
    if (!this.#isFaultPending || frame.kind !== FrameKind.Document) return [{ frame, delayMs: 0 }];
    this.#isFaultPending = false;
    this.#causeFault();
    if (fault === DistributionFault.FrameLost) return [];
    if (fault === DistributionFault.FrameLate) return [{ frame, delayMs: FRAME_DELAY_MS }];
    const sent = [{ frame, delayMs: 0 }];
    if (fault === DistributionFault.FrameDoubled) sent.push({ frame, delayMs: FRAME_DELAY_MS });
    return sent;
  }

  #causeFault(): void {
    const { platform, timer } = this.#cluster;
    const [watcher, otherWatcher] = this.#listMembers(true);
    const [follower] = this.#listMembers(false);
    switch (this.#case.fault) {
      case DistributionFault.ServiceDown:
      case DistributionFault.ServiceStale:
        platform.setState(
          this.#case.fault === DistributionFault.ServiceDown
            ? PlatformState.Down
            : PlatformState.Stale,
        );
        timer.after(FAULT_DURATION_MS, () => {
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
        cutRegions(this.#cluster);
        break;
      default:
        break;
    }
  }

  #listMembers(isWatcher: boolean): ClusterMember[] {
    return this.#cluster.members.filter(
      ({ instance, daemon }) =>
        instance.failureDomain === FAULT_DOMAIN && daemon.status.isWatcher === isWatcher,
    );
  }

  #restart(member: ClusterMember | undefined): void {
    if (member) this.#cluster.restartDaemon(member.instance.id);
  }

  #pause(member: ClusterMember | undefined): void {
    member?.clock.pause();
    this.#cluster.timer.after(FAULT_DURATION_MS, () => {
      member?.clock.resume();
    });
  }
}
