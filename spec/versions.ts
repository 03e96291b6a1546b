import type { Arith, Bool } from 'z3-solver';
import { Sort, type State, type TransitionSystem, type Z3 } from './system.ts';

/** Rules of the protocol for versions of the configuration. */
export enum VersionRule {
  /** A daemon applies a version only if it is newer. */
  OnlyRise = 'only-rise',
  /** A starting daemon asks a peer for its version before it serves. */
  AskPeers = 'ask-peers',
}

const DAEMONS = ['1', '2'] as const;

/**
 * Models two daemons and a configuration service that may be stale. The version in force at a daemon
 * never decreases, not even over a restart, as long as the other daemon has it and keeps running.
 */
export const versions: TransitionSystem = {
  name: 'versions',
  variables: {
    published: Sort.Number,
    shown: Sort.Number,
    version1: Sort.Number,
    version2: Sort.Number,
    served1: Sort.Number,
    served2: Sort.Number,
    serving1: Sort.Flag,
    serving2: Sort.Flag,
    asked1: Sort.Flag,
    asked2: Sort.Flag,
  },
  rules: Object.values(VersionRule),
  depth: 10,
  initial: (z3, state) =>
    z3.And(
      (state.published as Arith<'spec'>).eq(1),
      (state.shown as Arith<'spec'>).eq(1),
      ...DAEMONS.flatMap((name) => [
        (state[`version${name}`] as Arith<'spec'>).eq(1),
        (state[`served${name}`] as Arith<'spec'>).eq(1),
        state[`serving${name}`] as Bool<'spec'>,
        state[`asked${name}`] as Bool<'spec'>,
      ]),
    ),
  actions: (z3, state, removed) => {
    const published = state.published as Arith<'spec'>;
    const shown = state.shown as Arith<'spec'>;
    const yes = z3.Bool.val(true);
    const daemonActions = DAEMONS.flatMap((name) => {
      const other = name === '1' ? '2' : '1';
      const version = state[`version${name}`] as Arith<'spec'>;
      const served = state[`served${name}`] as Arith<'spec'>;
      const serving = state[`serving${name}`] as Bool<'spec'>;
      const asked = state[`asked${name}`] as Bool<'spec'>;
      const peerVersion = state[`version${other}`] as Arith<'spec'>;
      const peerServing = state[`serving${other}`] as Bool<'spec'>;
      const maximum = (left: Arith<'spec'>, right: Arith<'spec'>) =>
        z3.If(left.ge(right), left, right);
      const versionAfterRead = removed.has(VersionRule.OnlyRise) ? shown : maximum(version, shown);
      const hasAsked = removed.has(VersionRule.AskPeers) ? yes : asked;
      return [
        {
          name: `readService${name}`,
          guard: yes,
          changes: {
            [`version${name}`]: versionAfterRead,
            [`served${name}`]: z3.If(
              z3.And(serving, versionAfterRead.gt(served)),
              versionAfterRead,
              served,
            ),
          },
        },
        {
          name: `askPeer${name}`,
          guard: peerServing,
          changes: {
            [`version${name}`]: maximum(version, peerVersion),
            [`asked${name}`]: yes,
            [`served${name}`]: z3.If(z3.And(serving, peerVersion.gt(served)), peerVersion, served),
          },
        },
        {
          // A restart would lose a version that only this daemon has.
          name: `restart${name}`,
          guard: z3.And(peerServing, peerVersion.ge(served)),
          changes: {
            [`version${name}`]: z3.Int.val(0),
            [`serving${name}`]: z3.Bool.val(false),
            [`asked${name}`]: z3.Bool.val(false),
          },
        },
        {
          name: `serve${name}`,
          guard: z3.And(z3.Not(serving), hasAsked, version.gt(0)),
          changes: {
            [`serving${name}`]: yes,
            [`served${name}`]: z3.If(version.gt(served), version, served),
          },
        },
      ];
    });
    return [
      { name: 'publish', guard: yes, changes: { published: published.add(1) } },
      {
        name: 'refresh',
        guard: z3.Or(shown.lt(published)),
        changes: { shown: published },
      },
      { name: 'goStale', guard: shown.gt(1), changes: { shown: z3.Int.val(1) } },
      ...daemonActions,
    ];
  },
  properties: (z3, state) => ({
    'daemon 1 serves with a version': servesWithVersion(z3, state, '1'),
    'daemon 2 serves with a version': servesWithVersion(z3, state, '2'),
    'what is in force never reverts': neverReverts(z3, state),
  }),
  lemmas: (z3, state) => {
    const number = (name: string) => state[name] as Arith<'spec'>;
    return [
      z3.And(number('published').ge(1), number('shown').ge(1)),
      z3.And(number('version1').ge(0), number('version2').ge(0)),
      ...DAEMONS.flatMap((name) => makeRestartLemmas(z3, state, name)),
    ];
  },
};

function servesWithVersion(z3: Z3, state: State, name: (typeof DAEMONS)[number]): Bool<'spec'> {
  const version = state[`version${name}`] as Arith<'spec'>;
  return z3.Implies(state[`serving${name}`] as Bool<'spec'>, version.ge(1));
}

/** States that, while a daemon restarts, the other serves under a version at least as new as any that it has served under. */
function makeRestartLemmas(z3: Z3, state: State, name: (typeof DAEMONS)[number]): Bool<'spec'>[] {
  const other = name === '1' ? '2' : '1';
  const number = (variable: string) => state[variable] as Arith<'spec'>;
  const flag = (variable: string) => state[variable] as Bool<'spec'>;
  const isRestarting = z3.Not(flag(`serving${name}`));
  const hasAsked = z3.And(isRestarting, flag(`asked${name}`));
  return [
    z3.Implies(isRestarting, flag(`serving${other}`)),
    z3.Implies(isRestarting, number(`version${other}`).ge(number(`served${name}`))),
    z3.Implies(hasAsked, number(`version${name}`).ge(number(`served${name}`))),
    number(`served${name}`).ge(1),
  ];
}

/** States that no daemon serves under a version older than one it has served under, even after a restart. */
function neverReverts(z3: Z3, state: State): Bool<'spec'> {
  const number = (name: string) => state[name] as Arith<'spec'>;
  const flag = (name: string) => state[name] as Bool<'spec'>;
  return z3.And(
    z3.Implies(flag('serving1'), number('version1').ge(number('served1'))),
    z3.Implies(flag('serving2'), number('version2').ge(number('served2'))),
  );
}
