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
enum Stage {
  Idle = 0,
  /** The first attempt was sent. */
  Waiting1 = 1,
  /** The first attempt's answer was lost; it may have run. */
  Lost1 = 2,
  /** The second attempt was sent. */
  Waiting2 = 3,
  Answered = 4,
  NotRun = 5,
  /** The caller was told that its request is wrong. */
  Blamed = 6,
  Unknown = 7,
}

/** Rules for an entry and guards that hold different versions. */
export enum DisagreementRule {
  /** A guard runs nothing outside the home regions of its own version. */
  GuardChecksHomeRegions = 'guard-checks-homes',
  /** A guard runs nothing that its pool does not serve at its own version. */
  GuardChecksPool = 'guard-checks-pool',
  /** A guard refuses an attempt sent as repeatable if its newer version lets the call run once only. */
  GuardChecksRepeatability = 'guard-checks-kind',
  /** An attempt says whether it may be repeated; its guard records it by that, not by its own version. */
  AttemptCarriesRepeatability = 'attempt-carries-kind',
  /** An attempt that was refused, or fenced while it waited for a version, never runs. */
  RefusalIsFinal = 'refusal-is-final',
  /** Each attempt is decided by the version that the entry holds then. */
  ResolveBeforeRetry = 'decide-anew',
  /** After a disagreement the entry goes on only once it holds the guard's version. */
  CatchUpBeforeRetry = 'learn-before-retry',
  /** A call that may have run is not sent again if the entry's newer version lets it run once only. */
  NewerRepeatabilityStopsRetry = 'newer-kind-stops-retry',
  /** A call that runs at most once is sent again only after a refusal. */
  ProvenNotRun = 'proven-not-run',
  /** A call without an answer or refusal is not reported as not run. */
  LostIsUnknown = 'lost-is-unknown',
  /** A request is called wrong by the entry's own version only. */
  RequestInvalidByOwnVersion = 'blame-by-own-version',
}

const VERSIONS = [1, 2, 3] as const;
const GUARDS = ['1', '2'] as const;
type GuardName = (typeof GUARDS)[number];

/**
 * What a version says: that the route exists and its calls run at most once, and of each guard that
 * its pool serves the route and its region is a home region. No action changes it.
 */
const CLAUSES = ['exists', 'once', 'serves1', 'serves2', 'home1', 'home2'] as const;
type Clause = (typeof CLAUSES)[number];

const FLAGS = [
  'refused1',
  'refused2',
  /** The first guard refused by its version, which says otherwise than the entry's. */
  'differs1',
  /** The second attempt was made since the first was refused. */
  'wentOn',
  /** A guard ran the call under a version, not older than the attempt's, that lets it run once only. */
  'forbidden',
  /** An attempt was sent or run outside the home regions. */
  'leaked',
  /** A guard ran a call that its pool does not serve. */
  'misplaced',
] as const;
const COUNTERS = [
  /** Version by which an attempt was sent; 0 if it was not. */
  'decided1',
  'decided2',
  /** Version of the first guard when it refused. */
  'refusedBy1',
  'runs1',
  'runs2',
  /** Version of the entry by which the request was called wrong; 0 if it was not. */
  'blamedBy',
] as const;
/** The daemons, each with the version that it holds. */
const HOLDERS = ['entry', 'guard1', 'guard2'] as const;

function variables(): Record<string, Sort> {
  const numbers = ['stage', 'published', ...HOLDERS, ...COUNTERS];
  const clauses = VERSIONS.flatMap((version) => CLAUSES.map((clause) => `${clause}@${version}`));
  return Object.fromEntries([
    ...numbers.map((name) => [name, Sort.Number] as const),
    ...[...FLAGS, ...clauses].map((name) => [name, Sort.Flag] as const),
  ]);
}

/** Reads the variables of a state by their names. */
class View {
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

  isAt(...stages: Stage[]): Bool<'spec'> {
    const stage = this.number('stage');
    return this.#z3.Or(...stages.map((each) => stage.eq(each)));
  }

  /** Whether a clause holds at a version. */
  says(version: Arith<'spec'>, clause: Clause): Bool<'spec'> {
    const z3 = this.#z3;
    const saidBy = (each: number) => z3.And(version.eq(each), this.flag(`${clause}@${each}`));
    return z3.Or(...VERSIONS.map(saidBy));
  }

  /** Whether the attempt at a guard was made. */
  isSent(guard: GuardName): Bool<'spec'> {
    return this.number(`decided${guard}`).ge(1);
  }

  /** Whether the attempt at a guard was sent as one that runs at most once. */
  isOnce(guard: GuardName): Bool<'spec'> {
    return this.says(this.number(`decided${guard}`), 'once');
  }
}

function versionActions(z3: Z3, view: View): Action[] {
  const published = view.number('published');
  const learn = HOLDERS.map((name) => ({
    name: `learn-${name}`,
    guard: view.number(name).lt(published),
    changes: { [name]: view.number(name).add(1) },
  }));
  const isLast = published.ge(VERSIONS.length);
  return [
    { name: 'publish', guard: z3.Not(isLast), changes: { published: published.add(1) } },
    ...learn,
  ];
}

/** A guard runs or refuses its attempt, at any moment after it was sent. */
function guardActions(
  z3: Z3,
  view: View,
  { name, removed }: { name: GuardName; removed: ReadonlySet<string> },
): Action[] {
  const yes = z3.Bool.val(true);
  const version = view.number(`guard${name}`);
  const [isHome, serves] = [view.says(version, `home${name}`), view.says(version, `serves${name}`)];
  const isOnceHere = view.says(version, 'once');
  // An older version says nothing against what a newer one permits.
  const isBoundHere = z3.And(isOnceHere, version.ge(view.number(`decided${name}`)));
  const keep = (rule: DisagreementRule, holds: Bool<'spec'>) => (removed.has(rule) ? yes : holds);
  const accepts = z3.And(
    view.says(version, 'exists'),
    keep(DisagreementRule.GuardChecksPool, serves),
    keep(DisagreementRule.GuardChecksHomeRegions, isHome),
    keep(DisagreementRule.GuardChecksRepeatability, z3.Implies(isBoundHere, view.isOnce(name))),
  );
  const isNew = z3.And(view.isSent(name), view.number(`runs${name}`).eq(0));
  const isOpen = z3.Not(view.flag(`refused${name}`));
  // A guard that takes the call for repeatable keeps no record, so the attempt may run once refused.
  const isUnrecorded = removed.has(DisagreementRule.AttemptCarriesRepeatability)
    ? z3.Not(isOnceHere)
    : z3.Bool.val(false);
  const mayStart = keep(DisagreementRule.RefusalIsFinal, z3.Or(isOpen, isUnrecorded));
  // The version of the second guard matters to no later attempt.
  const told: Changes = name === '1' ? { differs1: z3.Not(accepts), refusedBy1: version } : {};
  return [
    {
      name: `run${name}`,
      guard: z3.And(isNew, mayStart, accepts),
      changes: {
        [`runs${name}`]: z3.Int.val(1),
        forbidden: z3.Or(view.flag('forbidden'), isBoundHere),
        leaked: z3.Or(view.flag('leaked'), z3.Not(isHome)),
        misplaced: z3.Or(view.flag('misplaced'), z3.Not(serves)),
      },
    },
    {
      // For want of room, for its version, or fenced by a settlement.
      name: `refuse${name}`,
      guard: z3.And(isNew, isOpen),
      changes: { [`refused${name}`]: yes, ...told },
    },
  ];
}

/** Sends an attempt, if a version has the route and permits it to go to the guard. */
function sendBy(
  z3: Z3,
  view: View,
  { name, version }: { name: GuardName; version: Arith<'spec'> },
): { permits: Bool<'spec'>; changes: Record<string, Expr<'spec'>> } {
  const clauses = ['exists', `serves${name}`, `home${name}`] as const;
  const isHome = view.says(view.number('entry'), `home${name}`);
  return {
    permits: z3.And(...clauses.map((clause) => view.says(version, clause))),
    changes: {
      stage: z3.Int.val(name === '1' ? Stage.Waiting1 : Stage.Waiting2),
      [`decided${name}`]: version,
      leaked: z3.Or(view.flag('leaked'), z3.Not(isHome)),
    },
  };
}

/** The second attempt: after a refusal that proves the first has not run, or after a lost answer. */
function retryActions(z3: Z3, view: View, removed: ReadonlySet<string>): Action[] {
  const yes = z3.Bool.val(true);
  const [entry, decided] = [view.number('entry'), view.number('decided1')];
  const version = removed.has(DisagreementRule.ResolveBeforeRetry) ? decided : entry;
  const { permits, changes } = sendBy(z3, view, { name: '2', version });
  const isOnceNow = view.says(entry, 'once');
  const mayRepeat = z3.And(
    removed.has(DisagreementRule.ProvenNotRun) ? yes : z3.Not(view.isOnce('1')),
    removed.has(DisagreementRule.NewerRepeatabilityStopsRetry) ? yes : z3.Not(isOnceNow),
  );
  const isFirst = view.isAt(Stage.Waiting1, Stage.Lost1);
  return [
    {
      name: 'goOn',
      guard: z3.And(isFirst, view.flag('refused1'), hasLearned(z3, view, removed), permits),
      changes: { ...changes, wentOn: yes },
    },
    { name: 'resend', guard: z3.And(view.isAt(Stage.Lost1), mayRepeat, permits), changes },
  ];
}

/** Whether the entry holds the version at which a guard differed. */
function hasLearned(z3: Z3, view: View, removed: ReadonlySet<string>): Bool<'spec'> {
  if (removed.has(DisagreementRule.CatchUpBeforeRetry)) return z3.Bool.val(true);
  return z3.Implies(view.flag('differs1'), view.number('entry').ge(view.number('refusedBy1')));
}

/** What the caller may be told, and the loss of the first attempt's link. */
function endActions(z3: Z3, view: View, removed: ReadonlySet<string>): Action[] {
  const to = (stage: Stage) => ({ stage: z3.Int.val(stage) });
  const entry = view.number('entry');
  const blame = { ...to(Stage.Blamed), blamedBy: entry };
  const isGone = z3.Not(view.says(entry, 'exists'));
  const isFirst = view.isAt(Stage.Waiting1, Stage.Lost1);
  const isRefused1 = z3.And(isFirst, view.flag('refused1'));
  const areRefused = z3.And(
    view.isAt(Stage.Waiting2),
    view.flag('refused1'),
    view.flag('refused2'),
  );
  const hasRun = (name: GuardName) => view.number(`runs${name}`).eq(1);
  const actions: Action[] = [
    { name: 'noTarget', guard: view.isAt(Stage.Idle), changes: to(Stage.NotRun) },
    { name: 'noRoute', guard: z3.And(view.isAt(Stage.Idle), isGone), changes: blame },
    { name: 'lose', guard: view.isAt(Stage.Waiting1), changes: to(Stage.Lost1) },
    { name: 'answered1', guard: z3.And(isFirst, hasRun('1')), changes: to(Stage.Answered) },
    {
      name: 'answered2',
      guard: z3.And(view.isAt(Stage.Waiting2), hasRun('2')),
      changes: to(Stage.Answered),
    },
    { name: 'notRun1', guard: isRefused1, changes: to(Stage.NotRun) },
    { name: 'notRun2', guard: areRefused, changes: to(Stage.NotRun) },
    {
      name: 'gone1',
      guard: z3.And(isRefused1, hasLearned(z3, view, removed), isGone),
      changes: blame,
    },
    { name: 'gone2', guard: z3.And(areRefused, isGone), changes: blame },
    {
      name: 'unknown',
      guard: view.isAt(Stage.Lost1, Stage.Waiting2),
      changes: to(Stage.Unknown),
    },
  ];
  if (removed.has(DisagreementRule.LostIsUnknown)) {
    actions.push({ name: 'lostNotRun', guard: view.isAt(Stage.Lost1), changes: to(Stage.NotRun) });
  }
  if (removed.has(DisagreementRule.RequestInvalidByOwnVersion)) {
    const guard = z3.And(isRefused1, view.flag('differs1'));
    actions.push({ name: 'passOnBlame', guard, changes: blame });
  }
  return actions;
}

function admission(z3: Z3, view: View): Action {
  const { permits, changes } = sendBy(z3, view, { name: '1', version: view.number('entry') });
  return { name: 'admit', guard: z3.And(view.isAt(Stage.Idle), permits), changes };
}

/** Whether a version by which the call was decided on, or run, lets it run once only. */
function isForbiddenToRepeat(z3: Z3, view: View): Bool<'spec'> {
  return z3.Or(view.flag('forbidden'), view.isOnce('1'), view.isOnce('2'));
}

/** Each variable stays in its range, and no version is used before it is published. */
function rangeLemmas(z3: Z3, view: View): Bool<'spec'>[] {
  const published = view.number('published');
  return [
    z3.And(view.number('stage').ge(Stage.Idle), view.number('stage').le(Stage.Unknown)),
    z3.And(published.ge(1), published.le(VERSIONS.length)),
    ...HOLDERS.map((name) => z3.And(view.number(name).ge(1), view.number(name).le(published))),
    ...GUARDS.map((name) => {
      const decided = view.number(`decided${name}`);
      return z3.And(decided.ge(0), decided.le(view.number('entry')));
    }),
  ];
}

/** An attempt runs once at most, only after it was sent, and not if it was refused. */
function attemptLemmas(z3: Z3, view: View, name: GuardName): Bool<'spec'>[] {
  const runs = view.number(`runs${name}`);
  const refused = view.flag(`refused${name}`);
  return [
    z3.And(runs.ge(0), runs.le(1)),
    z3.Implies(z3.Not(view.isSent(name)), z3.And(runs.eq(0), z3.Not(refused))),
    z3.Implies(refused, runs.eq(0)),
  ];
}

/** What the stage tells of the attempts. */
function stageLemmas(z3: Z3, view: View): Bool<'spec'>[] {
  const [first, second] = [view.isSent('1'), view.isSent('2')];
  const isRepeatable = z3.Not(z3.Or(view.isOnce('1'), view.isOnce('2')));
  const isRunOnce = GUARDS.map((name) =>
    z3.And(view.number(`runs${name}`).eq(1), view.isOnce(name)),
  );
  return [
    z3.Implies(view.isAt(Stage.Idle), z3.Not(first)),
    z3.Implies(view.isAt(Stage.Waiting1, Stage.Lost1), z3.And(first, z3.Not(second))),
    z3.Implies(view.isAt(Stage.Waiting2), second),
    z3.Implies(second, z3.And(first, z3.Or(view.flag('refused1'), isRepeatable))),
    z3.Implies(view.flag('wentOn'), z3.And(second, view.flag('refused1'))),
    z3.Implies(view.flag('forbidden'), z3.Or(...isRunOnce)),
    ...GUARDS.map((name) =>
      z3.Implies(
        z3.And(view.isAt(Stage.NotRun, Stage.Blamed), view.isSent(name)),
        view.flag(`refused${name}`),
      ),
    ),
  ];
}

/** One call whose entry and guards hold versions that rise at different moments. */
export const disagreement: TransitionSystem = {
  name: 'disagreement',
  variables: variables(),
  rules: Object.values(DisagreementRule),
  depth: 6,
  initial: (z3, state) => {
    const view = new View(z3, state);
    return z3.And(
      ...rangeLemmas(z3, view),
      view.isAt(Stage.Idle),
      ...FLAGS.map((name) => z3.Not(view.flag(name))),
      ...COUNTERS.map((name) => view.number(name).eq(0)),
    );
  },
  actions: (z3, state, removed) => {
    const view = new View(z3, state);
    return [
      ...versionActions(z3, view),
      admission(z3, view),
      ...retryActions(z3, view, removed),
      ...endActions(z3, view, removed),
      ...GUARDS.flatMap((name) => guardActions(z3, view, { name, removed })),
    ];
  },
  properties: (z3, state) => {
    const view = new View(z3, state);
    const runs = view.number('runs1').add(view.number('runs2'));
    const blamedBy = view.number('blamedBy');
    const [decided, refusedBy] = [view.number('decided2'), view.number('refusedBy1')];
    const isAfterDisagreement = z3.And(view.flag('wentOn'), view.flag('differs1'));
    return {
      'runs at most once where a version in play says so': z3.Implies(
        isForbiddenToRepeat(z3, view),
        runs.le(1),
      ),
      'not run is true': z3.Implies(view.isAt(Stage.NotRun, Stage.Blamed), runs.eq(0)),
      'answered has run': z3.Implies(view.isAt(Stage.Answered), runs.ge(1)),
      'stays in the home regions': z3.Not(view.flag('leaked')),
      'runs where its pool serves it': z3.Not(view.flag('misplaced')),
      'a permitted request is not blamed': z3.Implies(
        view.isAt(Stage.Blamed),
        z3.And(blamedBy.ge(1), z3.Not(view.says(blamedBy, 'exists'))),
      ),
      'goes on by newer knowledge': z3.Implies(isAfterDisagreement, decided.ge(refusedBy)),
    };
  },
  lemmas: (z3, state) => {
    const view = new View(z3, state);
    return [
      ...rangeLemmas(z3, view),
      ...GUARDS.flatMap((name) => attemptLemmas(z3, view, name)),
      ...stageLemmas(z3, view),
    ];
  },
};
