import type { Arith, Bool, Expr } from 'z3-solver';
import {
  Sort,
  type Action,
  type Changes,
  type State,
  type TransitionSystem,
  type Z3,
} from './system.ts';

/** Stage of the call at its entry, which makes at most two attempts, one at each guard. */
enum CallStage {
  Idle = 0,
  /** The first attempt was sent. */
  Waiting1 = 1,
  /** The answer of the first attempt was lost; the attempt may have run. */
  AnswerLost1 = 2,
  /** The second attempt was sent. */
  Waiting2 = 3,
  Answered = 4,
  NotRun = 5,
  /** The caller was told that its request is invalid. */
  RequestInvalid = 6,
  Unknown = 7,
}

/** Rules for an entry and guards that hold different versions. */
export enum DisagreementRule {
  /** A guard runs no call outside the home regions of its own version. */
  GuardChecksHomeRegions = 'guard-checks-homes',
  /** A guard runs no call of a route that its pool does not serve under its own version. */
  GuardChecksPool = 'guard-checks-pool',
  /** A guard refuses an attempt sent as repeatable if its newer version lets the call run at most once. */
  GuardChecksRepeatability = 'guard-checks-kind',
  /** An attempt carries whether it may be repeated; its guard records it by that, not by its own version. */
  AttemptCarriesRepeatability = 'attempt-carries-kind',
  /** An attempt that was refused, or fenced while it waited for a version, never runs. */
  RefusalIsFinal = 'refusal-is-final',
  /** Each attempt is resolved under the version in force at the entry when it is sent. */
  ResolveBeforeRetry = 'decide-anew',
  /** After a disagreement the entry retries only once it has caught up with the guard's version. */
  CatchUpBeforeRetry = 'learn-before-retry',
  /** A call that may have run is not retried if the entry's newer version lets it run at most once. */
  NewerRepeatabilityStopsRetry = 'newer-kind-stops-retry',
  /** A call that runs at most once is retried only after a refusal. */
  ProvenNotRun = 'proven-not-run',
  /** A call without an answer or refusal is not reported as not run. */
  LostIsUnknown = 'lost-is-unknown',
  /** A request is reported as invalid only under the entry's own version. */
  RequestInvalidByOwnVersion = 'blame-by-own-version',
}

const VERSIONS = [1, 2, 3] as const;
const GUARDS = ['1', '2'] as const;
type GuardName = (typeof GUARDS)[number];

/**
 * Facts of a version: whether the route exists and its calls run at most once, and for each guard
 * whether its pool serves the route and its region is a home region. No action changes them.
 */
const VERSION_FACTS = ['exists', 'once', 'serves1', 'serves2', 'home1', 'home2'] as const;
type VersionFact = (typeof VERSION_FACTS)[number];

const FLAGS = [
  'refused1',
  'refused2',
  /** The first guard refused because its version differs from the entry's. */
  'differs1',
  /** The second attempt was sent because the first was refused. */
  'wentOn',
  /** A guard ran the call under a version that is not older than the attempt's and lets it run at most once. */
  'forbidden',
  /** An attempt was sent or run outside the home regions. */
  'leaked',
  /** A guard ran a call that its pool does not serve. */
  'misplaced',
] as const;
const COUNTERS = [
  /** Version under which an attempt was sent; 0 if it was not. */
  'decided1',
  'decided2',
  /** Version in force at the first guard when it refused. */
  'refusedBy1',
  'runs1',
  'runs2',
  /** Version of the entry under which the request was reported as invalid; 0 if it was not. */
  'blamedBy',
] as const;
/** Names of the daemons; the variable of each is its version in force. */
const DAEMONS = ['entry', 'guard1', 'guard2'] as const;

function makeVariables(): Record<string, Sort> {
  const numbers = ['stage', 'published', ...DAEMONS, ...COUNTERS];
  const facts = VERSIONS.flatMap((version) => VERSION_FACTS.map((fact) => `${fact}@${version}`));
  return Object.fromEntries([
    ...numbers.map((name) => [name, Sort.Number] as const),
    ...[...FLAGS, ...facts].map((name) => [name, Sort.Flag] as const),
  ]);
}

/** Reads the variables of a state by their names. */
class StateView {
  readonly #z3: Z3;
  readonly #state: State;

  constructor(z3: Z3, state: State) {
    this.#z3 = z3;
    this.#state = state;
  }

  flag(name: string): Bool<'spec'> {
    return this.#state[name] as Bool<'spec'>;
  }

  number(name: string): Arith<'spec'> {
    return this.#state[name] as Arith<'spec'>;
  }

  isAt(...stages: CallStage[]): Bool<'spec'> {
    const stage = this.number('stage');
    return this.#z3.Or(...stages.map((each) => stage.eq(each)));
  }

  /** Reports whether a fact holds in a version. */
  holdsIn(version: Arith<'spec'>, fact: VersionFact): Bool<'spec'> {
    const z3 = this.#z3;
    const holdsInEach = (each: number) => z3.And(version.eq(each), this.flag(`${fact}@${each}`));
    return z3.Or(...VERSIONS.map(holdsInEach));
  }

  /** Reports whether the attempt at a guard was sent. */
  isSent(guard: GuardName): Bool<'spec'> {
    return this.number(`decided${guard}`).ge(1);
  }

  /** Reports whether the attempt at a guard was sent as one that runs at most once. */
  isAtMostOnce(guard: GuardName): Bool<'spec'> {
    return this.holdsIn(this.number(`decided${guard}`), 'once');
  }
}

function makeVersionActions(z3: Z3, view: StateView): Action[] {
  const published = view.number('published');
  const learnActions = DAEMONS.map((name) => ({
    name: `learn-${name}`,
    guard: view.number(name).lt(published),
    changes: { [name]: view.number(name).add(1) },
  }));
  const isLast = published.ge(VERSIONS.length);
  return [
    { name: 'publish', guard: z3.Not(isLast), changes: { published: published.add(1) } },
    ...learnActions,
  ];
}

/** Makes the actions of a guard, which runs or refuses its attempt at any moment after it was sent. */
function makeGuardActions(
  z3: Z3,
  view: StateView,
  { name, removed }: { name: GuardName; removed: ReadonlySet<string> },
): Action[] {
  const yes = z3.Bool.val(true);
  const version = view.number(`guard${name}`);
  const [isHome, serves] = [
    view.holdsIn(version, `home${name}`),
    view.holdsIn(version, `serves${name}`),
  ];
  const isAtMostOnceHere = view.holdsIn(version, 'once');
  // An older version does not override what a newer one permits.
  const mustRunAtMostOnce = z3.And(isAtMostOnceHere, version.ge(view.number(`decided${name}`)));
  const unlessRemoved = (rule: DisagreementRule, holds: Bool<'spec'>) =>
    removed.has(rule) ? yes : holds;
  const accepts = z3.And(
    view.holdsIn(version, 'exists'),
    unlessRemoved(DisagreementRule.GuardChecksPool, serves),
    unlessRemoved(DisagreementRule.GuardChecksHomeRegions, isHome),
    unlessRemoved(
      DisagreementRule.GuardChecksRepeatability,
      z3.Implies(mustRunAtMostOnce, view.isAtMostOnce(name)),
    ),
  );
  const isNew = z3.And(view.isSent(name), view.number(`runs${name}`).eq(0));
  const isNotRefused = z3.Not(view.flag(`refused${name}`));
  // A guard whose version makes the call repeatable keeps no record, so a refused attempt may still run.
  const isUnrecorded = removed.has(DisagreementRule.AttemptCarriesRepeatability)
    ? z3.Not(isAtMostOnceHere)
    : z3.Bool.val(false);
  const mayStart = unlessRemoved(
    DisagreementRule.RefusalIsFinal,
    z3.Or(isNotRefused, isUnrecorded),
  );
  // No later attempt depends on the second guard's version.
  const refusalChanges: Changes =
    name === '1' ? { differs1: z3.Not(accepts), refusedBy1: version } : {};
  return [
    {
      name: `run${name}`,
      guard: z3.And(isNew, mayStart, accepts),
      changes: {
        [`runs${name}`]: z3.Int.val(1),
        forbidden: z3.Or(view.flag('forbidden'), mustRunAtMostOnce),
        leaked: z3.Or(view.flag('leaked'), z3.Not(isHome)),
        misplaced: z3.Or(view.flag('misplaced'), z3.Not(serves)),
      },
    },
    {
      // Because of overload, a different version, or a fence by a settlement.
      name: `refuse${name}`,
      guard: z3.And(isNew, isNotRefused),
      changes: { [`refused${name}`]: yes, ...refusalChanges },
    },
  ];
}

/** Makes the condition under which a version permits an attempt at the guard, and the changes that send it. */
function makeSend(
  z3: Z3,
  view: StateView,
  { name, version }: { name: GuardName; version: Arith<'spec'> },
): { permits: Bool<'spec'>; changes: Record<string, Expr<'spec'>> } {
  const facts = ['exists', `serves${name}`, `home${name}`] as const;
  const isHome = view.holdsIn(view.number('entry'), `home${name}`);
  return {
    permits: z3.And(...facts.map((fact) => view.holdsIn(version, fact))),
    changes: {
      stage: z3.Int.val(name === '1' ? CallStage.Waiting1 : CallStage.Waiting2),
      [`decided${name}`]: version,
      leaked: z3.Or(view.flag('leaked'), z3.Not(isHome)),
    },
  };
}

/** Makes the actions that retry, after a refusal that proves the first attempt not run or after a lost answer. */
function makeRetryActions(z3: Z3, view: StateView, removed: ReadonlySet<string>): Action[] {
  const yes = z3.Bool.val(true);
  const [entry, decided] = [view.number('entry'), view.number('decided1')];
  const version = removed.has(DisagreementRule.ResolveBeforeRetry) ? decided : entry;
  const { permits, changes } = makeSend(z3, view, { name: '2', version });
  const isAtMostOnceNow = view.holdsIn(entry, 'once');
  const mayRepeat = z3.And(
    removed.has(DisagreementRule.ProvenNotRun) ? yes : z3.Not(view.isAtMostOnce('1')),
    removed.has(DisagreementRule.NewerRepeatabilityStopsRetry) ? yes : z3.Not(isAtMostOnceNow),
  );
  const isFirstAttempt = view.isAt(CallStage.Waiting1, CallStage.AnswerLost1);
  return [
    {
      name: 'goOn',
      guard: z3.And(isFirstAttempt, view.flag('refused1'), hasCaughtUp(z3, view, removed), permits),
      changes: { ...changes, wentOn: yes },
    },
    {
      name: 'resend',
      guard: z3.And(view.isAt(CallStage.AnswerLost1), mayRepeat, permits),
      changes,
    },
  ];
}

/** Reports whether the entry has caught up with the version under which the first guard differed. */
function hasCaughtUp(z3: Z3, view: StateView, removed: ReadonlySet<string>): Bool<'spec'> {
  if (removed.has(DisagreementRule.CatchUpBeforeRetry)) return z3.Bool.val(true);
  return z3.Implies(view.flag('differs1'), view.number('entry').ge(view.number('refusedBy1')));
}

/** Makes the actions that complete the call, and the loss of the first attempt's link. */
function makeCompletionActions(z3: Z3, view: StateView, removed: ReadonlySet<string>): Action[] {
  const moveTo = (stage: CallStage) => ({ stage: z3.Int.val(stage) });
  const entry = view.number('entry');
  const reportInvalid = { ...moveTo(CallStage.RequestInvalid), blamedBy: entry };
  const isRouteMissing = z3.Not(view.holdsIn(entry, 'exists'));
  const isFirstAttempt = view.isAt(CallStage.Waiting1, CallStage.AnswerLost1);
  const isRefused1 = z3.And(isFirstAttempt, view.flag('refused1'));
  const areBothRefused = z3.And(
    view.isAt(CallStage.Waiting2),
    view.flag('refused1'),
    view.flag('refused2'),
  );
  const hasRun = (name: GuardName) => view.number(`runs${name}`).eq(1);
  const actions: Action[] = [
    { name: 'noTarget', guard: view.isAt(CallStage.Idle), changes: moveTo(CallStage.NotRun) },
    {
      name: 'noRoute',
      guard: z3.And(view.isAt(CallStage.Idle), isRouteMissing),
      changes: reportInvalid,
    },
    { name: 'lose', guard: view.isAt(CallStage.Waiting1), changes: moveTo(CallStage.AnswerLost1) },
    {
      name: 'answered1',
      guard: z3.And(isFirstAttempt, hasRun('1')),
      changes: moveTo(CallStage.Answered),
    },
    {
      name: 'answered2',
      guard: z3.And(view.isAt(CallStage.Waiting2), hasRun('2')),
      changes: moveTo(CallStage.Answered),
    },
    { name: 'notRun1', guard: isRefused1, changes: moveTo(CallStage.NotRun) },
    { name: 'notRun2', guard: areBothRefused, changes: moveTo(CallStage.NotRun) },
    {
      name: 'gone1',
      guard: z3.And(isRefused1, hasCaughtUp(z3, view, removed), isRouteMissing),
      changes: reportInvalid,
    },
    { name: 'gone2', guard: z3.And(areBothRefused, isRouteMissing), changes: reportInvalid },
    {
      name: 'unknown',
      guard: view.isAt(CallStage.AnswerLost1, CallStage.Waiting2),
      changes: moveTo(CallStage.Unknown),
    },
  ];
  if (removed.has(DisagreementRule.LostIsUnknown)) {
    actions.push({
      name: 'lostNotRun',
      guard: view.isAt(CallStage.AnswerLost1),
      changes: moveTo(CallStage.NotRun),
    });
  }
  if (removed.has(DisagreementRule.RequestInvalidByOwnVersion)) {
    const guard = z3.And(isRefused1, view.flag('differs1'));
    actions.push({ name: 'passOnBlame', guard, changes: reportInvalid });
  }
  return actions;
}

function makeAdmissionAction(z3: Z3, view: StateView): Action {
  const { permits, changes } = makeSend(z3, view, { name: '1', version: view.number('entry') });
  return { name: 'admit', guard: z3.And(view.isAt(CallStage.Idle), permits), changes };
}

/** Reports whether a version under which the call was resolved or run lets it run at most once. */
function isRepeatForbidden(z3: Z3, view: StateView): Bool<'spec'> {
  return z3.Or(view.flag('forbidden'), view.isAtMostOnce('1'), view.isAtMostOnce('2'));
}

/** States that each variable stays in its range and no version is used before it is published. */
function makeRangeLemmas(z3: Z3, view: StateView): Bool<'spec'>[] {
  const published = view.number('published');
  return [
    z3.And(view.number('stage').ge(CallStage.Idle), view.number('stage').le(CallStage.Unknown)),
    z3.And(published.ge(1), published.le(VERSIONS.length)),
    ...DAEMONS.map((name) => z3.And(view.number(name).ge(1), view.number(name).le(published))),
    ...GUARDS.map((name) => {
      const decided = view.number(`decided${name}`);
      return z3.And(decided.ge(0), decided.le(view.number('entry')));
    }),
  ];
}

/** States that an attempt runs at most once, only after it was sent, and not if it was refused. */
function makeAttemptLemmas(z3: Z3, view: StateView, name: GuardName): Bool<'spec'>[] {
  const runs = view.number(`runs${name}`);
  const refused = view.flag(`refused${name}`);
  return [
    z3.And(runs.ge(0), runs.le(1)),
    z3.Implies(z3.Not(view.isSent(name)), z3.And(runs.eq(0), z3.Not(refused))),
    z3.Implies(refused, runs.eq(0)),
  ];
}

/** States what the stage of the call implies about its attempts. */
function makeStageLemmas(z3: Z3, view: StateView): Bool<'spec'>[] {
  const [first, second] = [view.isSent('1'), view.isSent('2')];
  const isRepeatable = z3.Not(z3.Or(view.isAtMostOnce('1'), view.isAtMostOnce('2')));
  const ranAtMostOnce = GUARDS.map((name) =>
    z3.And(view.number(`runs${name}`).eq(1), view.isAtMostOnce(name)),
  );
  return [
    z3.Implies(view.isAt(CallStage.Idle), z3.Not(first)),
    z3.Implies(view.isAt(CallStage.Waiting1, CallStage.AnswerLost1), z3.And(first, z3.Not(second))),
    z3.Implies(view.isAt(CallStage.Waiting2), second),
    z3.Implies(second, z3.And(first, z3.Or(view.flag('refused1'), isRepeatable))),
    z3.Implies(view.flag('wentOn'), z3.And(second, view.flag('refused1'))),
    z3.Implies(view.flag('forbidden'), z3.Or(...ranAtMostOnce)),
    ...GUARDS.map((name) =>
      z3.Implies(
        z3.And(view.isAt(CallStage.NotRun, CallStage.RequestInvalid), view.isSent(name)),
        view.flag(`refused${name}`),
      ),
    ),
  ];
}

/** Models one call whose entry and guards apply newer versions at different moments. */
export const disagreement: TransitionSystem = {
  name: 'disagreement',
  variables: makeVariables(),
  rules: Object.values(DisagreementRule),
  depth: 6,
  initial: (z3, state) => {
    const view = new StateView(z3, state);
    return z3.And(
      ...makeRangeLemmas(z3, view),
      view.isAt(CallStage.Idle),
      ...FLAGS.map((name) => z3.Not(view.flag(name))),
      ...COUNTERS.map((name) => view.number(name).eq(0)),
    );
  },
  actions: (z3, state, removed) => {
    const view = new StateView(z3, state);
    return [
      ...makeVersionActions(z3, view),
      makeAdmissionAction(z3, view),
      ...makeRetryActions(z3, view, removed),
      ...makeCompletionActions(z3, view, removed),
      ...GUARDS.flatMap((name) => makeGuardActions(z3, view, { name, removed })),
    ];
  },
  properties: (z3, state) => {
    const view = new StateView(z3, state);
    const runs = view.number('runs1').add(view.number('runs2'));
    const blamedBy = view.number('blamedBy');
    const [decided, refusedBy] = [view.number('decided2'), view.number('refusedBy1')];
    const isAfterDisagreement = z3.And(view.flag('wentOn'), view.flag('differs1'));
    return {
      'runs at most once where a version in play says so': z3.Implies(
        isRepeatForbidden(z3, view),
        runs.le(1),
      ),
      'not run is true': z3.Implies(
        view.isAt(CallStage.NotRun, CallStage.RequestInvalid),
        runs.eq(0),
      ),
      'answered has run': z3.Implies(view.isAt(CallStage.Answered), runs.ge(1)),
      'stays in the home regions': z3.Not(view.flag('leaked')),
      'runs where its pool serves it': z3.Not(view.flag('misplaced')),
      'a permitted request is not blamed': z3.Implies(
        view.isAt(CallStage.RequestInvalid),
        z3.And(blamedBy.ge(1), z3.Not(view.holdsIn(blamedBy, 'exists'))),
      ),
      'goes on by newer knowledge': z3.Implies(isAfterDisagreement, decided.ge(refusedBy)),
    };
  },
  lemmas: (z3, state) => {
    const view = new StateView(z3, state);
    return [
      ...makeRangeLemmas(z3, view),
      ...GUARDS.flatMap((name) => makeAttemptLemmas(z3, view, name)),
      ...makeStageLemmas(z3, view),
    ];
  },
};
