import {
  PlatformState,
  NetworkPathState,
  makeExampleConfiguration,
  type InProcessCluster,
  type ClusterMember,
} from '../fakes/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import type { RandomSource } from '../random/mod.ts';

/** Fault that is caused at a step of a call. */
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

/** Daemons and actions of the case in which a fault is caused. */
export interface FaultContext {
  cluster: InProcessCluster;
  /** Daemon that issued the key. */
  owner: ClusterMember;
  /** Daemon that the call was sent to; chosen at random while that is unknown. */
  executor: ClusterMember;
  random: RandomSource;
  /** Disconnects the caller. */
  disconnect: () => void;
  /** Sends the same call again to another daemon. */
  resend: () => void;
}

const PAUSE_DURATION_MS = 20_000;
const LINK_FAULT_MS = 3_000;

/** Undoes a fault. */
export type UndoFault = () => void;

const doNothing: UndoFault = () => undefined;

/**
 * Causes a fault, except for {@linkcode FRAME_FAULTS}, which the case itself causes.
 *
 * @param fault The fault.
 * @param context Context of the case.
 * @returns Function that undoes the fault; it does nothing if the fault ends by itself or lasts.
 */
export function causeFault(fault: Fault, context: FaultContext): UndoFault {
  const { cluster, owner, executor } = context;
  switch (fault) {
    case Fault.None:
    case Fault.FrameLate:
    case Fault.FrameDoubled:
    case Fault.FrameLost:
      return doNothing;
    case Fault.CallerDisconnected:
      context.disconnect();
      return doNothing;
    case Fault.ResendElsewhere:
      context.resend();
      return doNothing;
    case Fault.LinkCut:
      return setLinkState(context, NetworkPathState.Cut);
    case Fault.LinkSilent:
      return setLinkState(context, NetworkPathState.Silent);
    case Fault.TargetCrash:
      executor.target.crash();
      return doNothing;
    case Fault.TargetRestart:
      executor.target.restartMs = 1;
      executor.target.crash();
      return doNothing;
    case Fault.ExecutorCrash:
      cluster.restartDaemon(executor.instance.id);
      return doNothing;
    case Fault.OwnerCrash:
      cluster.restartDaemon(owner.instance.id);
      return doNothing;
    case Fault.ExecutorPause:
      return pause(cluster, executor);
    case Fault.OwnerPause:
      return pause(cluster, owner);
    case Fault.ExecutorDrain:
      return drain(cluster, executor);
    case Fault.OwnerDrain:
      return drain(cluster, owner);
    case Fault.DomainOut: {
      const outDomains = [executor.instance.failureDomain];
      cluster.platform.publish(makeExampleConfiguration({ version: 2, outDomains }));
      return doNothing;
    }
    case Fault.TargetListedLeaving:
      cluster.platform.setInstances(
        cluster.members.map(({ instance }) =>
          instance === executor.instance ? { ...instance, stage: InstanceStage.Leaving } : instance,
        ),
      );
      return doNothing;
    case Fault.RegionCut:
      return cutRegions(cluster);
    case Fault.ServiceDown:
      cluster.platform.setState(PlatformState.Down);
      return () => {
        cluster.platform.setState(PlatformState.Up);
      };
    case Fault.ServiceStale:
      cluster.platform.setState(PlatformState.Stale);
      return () => {
        cluster.platform.setState(PlatformState.Up);
      };
  }
}

/** Faults of a single frame, which the case causes when the frame is sent. */
export const FRAME_FAULTS: ReadonlySet<Fault> = new Set([
  Fault.FrameLate,
  Fault.FrameDoubled,
  Fault.FrameLost,
]);

function setLinkState(
  { cluster, owner, executor }: FaultContext,
  state: NetworkPathState,
): UndoFault {
  const [from, to] = [owner.instance.peerAddress, executor.instance.peerAddress];
  cluster.network.setPathState(from, to, state);
  const undo = () => {
    cluster.network.setPathState(from, to, NetworkPathState.Up);
  };
  cluster.timer.after(LINK_FAULT_MS, undo);
  return undo;
}

function pause(cluster: InProcessCluster, { clock }: ClusterMember): UndoFault {
  clock.pause();
  const resume = () => {
    clock.resume();
  };
  cluster.timer.after(PAUSE_DURATION_MS, resume);
  return doNothing;
}

function drain(cluster: InProcessCluster, member: ClusterMember): UndoFault {
  const { id } = member.instance;
  const { daemon } = member;
  void daemon.drain().then(() => {
    if (cluster.member(id).daemon === daemon) cluster.stopDaemon(id);
  });
  return doNothing;
}

/**
 * Cuts the links between the two regions of the example temporarily.
 *
 * @param cluster Simulated daemons and their network.
 * @returns Function that restores the links earlier.
 */
export function cutRegions(cluster: InProcessCluster): UndoFault {
  const addresses = cluster.members.map(({ instance }) => instance.peerAddress);
  const setAll = (state: NetworkPathState) => {
    for (const centroAddress of addresses.filter((address) => address.includes('centro'))) {
      for (const norteAddress of addresses.filter((address) => address.includes('norte'))) {
        cluster.network.setPathState(centroAddress, norteAddress, state);
      }
    }
  };
  setAll(NetworkPathState.Cut);
  const undo = () => {
    setAll(NetworkPathState.Up);
  };
  cluster.timer.after(LINK_FAULT_MS, undo);
  return undo;
}
