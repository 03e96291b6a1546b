import {
  PlatformState,
  NetworkPathState,
  makeExampleConfiguration,
  type InProcessCluster,
  type ClusterMember,
} from '../fakes/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import type { RandomSource } from '../random/mod.ts';

/** What can go wrong at a step of a call. */
export enum Fault {
  None = 'none',
  CallerDisconnected = 'caller-gone',
  ResendElsewhere = 'resend-elsewhere',
  LinkCut = 'link-cut',
  LinkSilent = 'link-silent',
  FrameLate = 'frame-late',
  FrameDoubled = 'frame-doubled',
  FrameLost = 'frame-lost',
  TargetCrash = 'target-crash',
  TargetRestart = 'target-restart',
  ExecutorCrash = 'executor-crash',
  ExecutorPause = 'executor-pause',
  ExecutorDrain = 'executor-drain',
  OwnerCrash = 'owner-crash',
  OwnerPause = 'owner-pause',
  OwnerDrain = 'owner-drain',
  DomainOut = 'domain-out',
  TargetListedLeaving = 'target-listed-leaving',
  RegionCut = 'region-cut',
  ServiceDown = 'service-down',
  ServiceStale = 'service-stale',
}

/** The scene in which a fault is caused. */
export interface FaultContext {
  world: InProcessCluster;
  /** Daemon that issued the key. */
  owner: ClusterMember;
  /** Daemon that the call was sent to, once that is known. */
  executor: ClusterMember;
  random: RandomSource;
  /** Leaves, as the caller. */
  disconnect: () => void;
  /** Sends the same call again at another daemon. */
  resend: () => void;
}

const PAUSE_MS = 20_000;
const SILENCE_MS = 3_000;

/** Undoes a fault once the case is to heal. */
export type UndoFault = () => void;

const nothing: UndoFault = () => undefined;

/**
 * Causes a fault. Faults of single frames are caused by the case itself.
 *
 * @param fault The fault.
 * @param scene Where.
 * @returns How to undo it.
 */
export function causeFault(fault: Fault, scene: FaultContext): UndoFault {
  const { world, owner, executor } = scene;
  switch (fault) {
    case Fault.None:
    case Fault.FrameLate:
    case Fault.FrameDoubled:
    case Fault.FrameLost:
      return nothing;
    case Fault.CallerDisconnected:
      scene.disconnect();
      return nothing;
    case Fault.ResendElsewhere:
      scene.resend();
      return nothing;
    case Fault.LinkCut:
      return setWay(scene, NetworkPathState.Cut);
    case Fault.LinkSilent:
      return setWay(scene, NetworkPathState.Silent);
    case Fault.TargetCrash:
      executor.target.crash();
      return nothing;
    case Fault.TargetRestart:
      executor.target.restartMs = 1;
      executor.target.crash();
      return nothing;
    case Fault.ExecutorCrash:
      world.restartDaemon(executor.instance.id);
      return nothing;
    case Fault.OwnerCrash:
      world.restartDaemon(owner.instance.id);
      return nothing;
    case Fault.ExecutorPause:
      return pause(world, executor);
    case Fault.OwnerPause:
      return pause(world, owner);
    case Fault.ExecutorDrain:
      return drain(world, executor);
    case Fault.OwnerDrain:
      return drain(world, owner);
    case Fault.DomainOut: {
      const out = [executor.instance.failureDomain];
      world.platform.publish(makeExampleConfiguration({ version: 2, outDomains: out }));
      return nothing;
    }
    case Fault.TargetListedLeaving:
      world.platform.setInstances(
        world.members.map(({ instance }) =>
          instance === executor.instance ? { ...instance, stage: InstanceStage.Leaving } : instance,
        ),
      );
      return nothing;
    case Fault.RegionCut:
      return cutRegions(world);
    case Fault.ServiceDown:
      world.platform.setState(PlatformState.Down);
      return () => {
        world.platform.setState(PlatformState.Up);
      };
    case Fault.ServiceStale:
      world.platform.setState(PlatformState.Stale);
      return () => {
        world.platform.setState(PlatformState.Up);
      };
  }
}

/** Faults of one frame, which the case causes as the frame passes. */
export const FRAME_FAULTS: ReadonlySet<Fault> = new Set([
  Fault.FrameLate,
  Fault.FrameDoubled,
  Fault.FrameLost,
]);

function setWay({ world, owner, executor }: FaultContext, state: NetworkPathState): UndoFault {
  const [from, to] = [owner.instance.peerAddress, executor.instance.peerAddress];
  world.network.setPathState(from, to, state);
  const heal = () => {
    world.network.setPathState(from, to, NetworkPathState.Up);
  };
  world.timer.after(SILENCE_MS, heal);
  return heal;
}

function pause(world: InProcessCluster, { clock }: ClusterMember): UndoFault {
  clock.pause();
  const resume = () => {
    clock.resume();
  };
  world.timer.after(PAUSE_MS, resume);
  return nothing;
}

function drain(world: InProcessCluster, member: ClusterMember): UndoFault {
  const { id } = member.instance;
  const { daemon } = member;
  void daemon.drain().then(() => {
    if (world.member(id).daemon === daemon) world.stopDaemon(id);
  });
  return nothing;
}

/**
 * Cuts the two regions of the example from each other for a while.
 *
 * @param world The world.
 * @returns How to undo it earlier.
 */
export function cutRegions(world: InProcessCluster): UndoFault {
  const addresses = world.members.map(({ instance }) => instance.peerAddress);
  const setAll = (state: NetworkPathState) => {
    for (const left of addresses.filter((each) => each.includes('centro'))) {
      for (const right of addresses.filter((each) => each.includes('norte'))) {
        world.network.setPathState(left, right, state);
      }
    }
  };
  setAll(NetworkPathState.Cut);
  const heal = () => {
    setAll(NetworkPathState.Up);
  };
  world.timer.after(SILENCE_MS, heal);
  return heal;
}
