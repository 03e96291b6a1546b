import type { Arith, Bool } from 'z3-solver';
import { Sort, type Action, type State, type TransitionSystem, type Z3 } from './system.ts';

/** Stage of the owner of the key. */
enum Owner {
  Idle = 0,
  Waiting1 = 1,
  Settling1 = 2,
  Waiting2 = 3,
  Settling2 = 4,
  Answered = 5,
  NotRun = 6,
  Unknown = 7,
}

/** Entry of an attempt in the ledger of its executor. */
enum Ledger {
  None = 0,
  Queued = 1,
  Running = 2,
  Ended = 3,
  Fenced = 4,
}

/** Rules of the protocol for calls that run at most once. */
export enum AtMostOnceRule {
  /** A settlement fences an attempt that has not started. */
  FenceOnSettle = 'fence-on-settle',
  /** No further attempt before the one before is fenced. */
  SettleBeforeRetry = 'settle-before-retry',
  /** Only the incarnation that was sent an attempt can settle it. */
  SameIncarnation = 'same-incarnation',
  /** An owner that has restarted never runs its old keys. */
  OwnerForgetsNothing = 'owner-forgets-nothing',
  /** The ledger accepts an attempt once. */
  AcceptOnce = 'accept-once',
  /** An attempt that was fenced while it waited does not start. */
  CheckFenceAtStart = 'check-fence-at-start',
  /** Attempts that the ledger has forgotten are refused and not known. */
  RememberForgotten = 'remember-forgotten',
  /** A resend joins the execution of its key. */
  JoinResends = 'join-resends',
  /** A restarted executor honours nothing sent to its former incarnation. */
  DropOldFrames = 'drop-old-frames',
}

const ATTEMPTS = ['1', '2'] as const;
type AttemptName = (typeof ATTEMPTS)[number];

/** One attempt's variables. */
interface AttemptView {
  /** A call frame is under way; it may be delivered any number of times, at any time. */
  call: Bool<'spec'>;
  ledger: Arith<'spec'>;
  /** The executor has restarted since the attempt was sent. */
  restarted: Bool<'spec'>;
  forgotten: Bool<'spec'>;
  runs: Arith<'spec'>;
  answer: Bool<'spec'>;
  fence: Bool<'spec'>;
  loss: Bool<'spec'>;
  settle: Bool<'spec'>;
}

function viewOf(state: State, name: AttemptName): AttemptView {
  const flag = (variable: string) => state[variable + name] as Bool<'spec'>;
  const number = (variable: string) => state[variable + name] as Arith<'spec'>;
  return {
    call: flag('call'),
    ledger: number('ledger'),
    restarted: flag('restarted'),
    forgotten: flag('forgotten'),
    runs: number('runs'),
    answer: flag('answer'),
    fence: flag('fence'),
    loss: flag('loss'),
    settle: flag('settle'),
  };
}

function variables(): Record<string, Sort> {
  const all: Record<string, Sort> = { owner: Sort.Number };
  for (const name of ATTEMPTS) {
    for (const flag of ['call', 'restarted', 'forgotten', 'answer', 'fence', 'loss', 'settle']) {
      all[flag + name] = Sort.Flag;
    }
    all[`ledger${name}`] = Sort.Number;
    all[`runs${name}`] = Sort.Number;
  }
  return all;
}

function executorActions(
  z3: Z3,
  state: State,
  { name, removed }: { name: AttemptName; removed: ReadonlySet<string> },
): Action[] {
  const view = viewOf(state, name);
  const yes = z3.Bool.val(true);
  const value = (number: number) => z3.Int.val(number);
  const isAt = (stage: Ledger) => view.ledger.eq(value(stage));
  const isLive = removed.has(AtMostOnceRule.DropOldFrames) ? yes : z3.Not(view.restarted);
  const isNew = removed.has(AtMostOnceRule.AcceptOnce)
    ? yes
    : z3.And(isAt(Ledger.None), z3.Not(view.forgotten));
  const canStart = removed.has(AtMostOnceRule.CheckFenceAtStart)
    ? z3.Or(isAt(Ledger.Queued), isAt(Ledger.Fenced))
    : isAt(Ledger.Queued);
  const notStarted = z3.Or(
    z3.And(isAt(Ledger.None), z3.Not(view.forgotten)),
    isAt(Ledger.Queued),
    isAt(Ledger.Fenced),
  );
  const fenceChange = removed.has(AtMostOnceRule.FenceOnSettle)
    ? {}
    : { [`ledger${name}`]: value(Ledger.Fenced) };
  const forgetChange = removed.has(AtMostOnceRule.RememberForgotten)
    ? {}
    : { [`forgotten${name}`]: yes };
  const settledHere = z3.And(view.settle, z3.Not(view.restarted));
  return [
    {
      name: `deliver${name}`,
      guard: z3.And(view.call, isLive, isNew),
      changes: { [`ledger${name}`]: value(Ledger.Queued) },
    },
    {
      name: `run${name}`,
      guard: canStart,
      changes: { [`ledger${name}`]: value(Ledger.Running), [`runs${name}`]: view.runs.add(1) },
    },
    {
      name: `end${name}`,
      guard: isAt(Ledger.Running),
      changes: { [`ledger${name}`]: value(Ledger.Ended), [`answer${name}`]: yes },
    },
    {
      name: `refuse${name}`,
      guard: isAt(Ledger.Queued),
      changes: { [`ledger${name}`]: value(Ledger.Fenced), [`fence${name}`]: yes },
    },
    {
      name: `settleNotStarted${name}`,
      guard: z3.And(settledHere, notStarted),
      changes: { ...fenceChange, [`fence${name}`]: yes },
    },
    {
      name: `settleEnded${name}`,
      guard: z3.And(settledHere, isAt(Ledger.Ended)),
      changes: { [`answer${name}`]: yes },
    },
    {
      name: `settleForgotten${name}`,
      guard: z3.And(settledHere, isAt(Ledger.None), view.forgotten),
      changes: { [`loss${name}`]: yes },
    },
    {
      name: `settleRestarted${name}`,
      guard: z3.And(view.settle, view.restarted),
      changes: removed.has(AtMostOnceRule.SameIncarnation)
        ? { [`fence${name}`]: yes }
        : { [`loss${name}`]: yes },
    },
    {
      name: `forget${name}`,
      guard: z3.Or(isAt(Ledger.Ended), isAt(Ledger.Fenced)),
      changes: { [`ledger${name}`]: value(Ledger.None), ...forgetChange },
    },
    {
      name: `restartExecutor${name}`,
      guard: view.call,
      changes: {
        [`ledger${name}`]: value(Ledger.None),
        [`forgotten${name}`]: z3.Bool.val(false),
        [`restarted${name}`]: yes,
      },
    },
  ];
}

function ownerActions(z3: Z3, state: State, removed: ReadonlySet<string>): Action[] {
  const owner = state.owner as Arith<'spec'>;
  const yes = z3.Bool.val(true);
  const isAt = (stage: Owner) => owner.eq(z3.Int.val(stage));
  const to = (stage: Owner) => ({ owner: z3.Int.val(stage) });
  const second = { ...to(Owner.Waiting2), call2: yes };
  const [first, other] = [viewOf(state, '1'), viewOf(state, '2')];
  const at1 = z3.Or(isAt(Owner.Waiting1), isAt(Owner.Settling1));
  const at2 = z3.Or(isAt(Owner.Waiting2), isAt(Owner.Settling2));
  const actions: Action[] = [
    { name: 'start', guard: isAt(Owner.Idle), changes: { ...to(Owner.Waiting1), call1: yes } },
    {
      name: 'lose1',
      guard: isAt(Owner.Waiting1),
      changes: { ...to(Owner.Settling1), settle1: yes },
    },
    {
      name: 'lose2',
      guard: isAt(Owner.Waiting2),
      changes: { ...to(Owner.Settling2), settle2: yes },
    },
    { name: 'answered1', guard: z3.And(at1, first.answer), changes: to(Owner.Answered) },
    { name: 'answered2', guard: z3.And(at2, other.answer), changes: to(Owner.Answered) },
    { name: 'retry', guard: z3.And(at1, first.fence), changes: second },
    { name: 'notRun1', guard: z3.And(at1, first.fence), changes: to(Owner.NotRun) },
    { name: 'notRun2', guard: z3.And(at2, other.fence), changes: to(Owner.NotRun) },
    {
      name: 'resendAfterNotRun',
      guard: z3.And(isAt(Owner.NotRun), z3.Not(other.call)),
      changes: second,
    },
    { name: 'unknown1', guard: z3.And(at1, first.loss), changes: to(Owner.Unknown) },
    { name: 'unknown2', guard: z3.And(at2, other.loss), changes: to(Owner.Unknown) },
    {
      name: 'giveUp',
      guard: z3.Or(isAt(Owner.Settling1), isAt(Owner.Settling2)),
      changes: to(Owner.Unknown),
    },
    {
      name: 'restartOwner',
      guard: z3.Not(isAt(Owner.Idle)),
      changes: removed.has(AtMostOnceRule.OwnerForgetsNothing) ? second : to(Owner.Unknown),
    },
  ];
  if (removed.has(AtMostOnceRule.SettleBeforeRetry)) {
    actions.push({ name: 'retryUnsettled', guard: isAt(Owner.Settling1), changes: second });
  }
  if (removed.has(AtMostOnceRule.JoinResends)) {
    actions.push({ name: 'resendRuns', guard: isAt(Owner.Answered), changes: second });
  }
  return actions;
}

function totalRuns(state: State): Arith<'spec'> {
  return viewOf(state, '1').runs.add(viewOf(state, '2').runs);
}

function attemptLemmas(z3: Z3, state: State, name: AttemptName): Bool<'spec'>[] {
  const view = viewOf(state, name);
  const isAt = (stage: Ledger) => view.ledger.eq(z3.Int.val(stage));
  const ran = view.runs.eq(1);
  const isDead = z3.Or(isAt(Ledger.Fenced), view.forgotten, view.restarted);
  return [
    z3.And(view.runs.ge(0), view.runs.le(1)),
    z3.And(view.ledger.ge(Ledger.None), view.ledger.le(Ledger.Fenced)),
    z3.Implies(
      z3.Not(view.call),
      z3.And(isAt(Ledger.None), view.runs.eq(0), z3.Not(view.answer), z3.Not(view.fence)),
    ),
    z3.Implies(
      z3.Not(view.call),
      z3.And(z3.Not(view.restarted), z3.Not(view.forgotten), z3.Not(view.settle)),
    ),
    z3.Implies(view.answer, ran),
    z3.Implies(view.fence, z3.And(view.runs.eq(0), isDead)),
    z3.Implies(z3.Or(isAt(Ledger.Running), isAt(Ledger.Ended)), ran),
    z3.Implies(z3.Or(isAt(Ledger.Queued), isAt(Ledger.Fenced)), view.runs.eq(0)),
    z3.Implies(
      z3.And(isAt(Ledger.None), z3.Not(view.forgotten), z3.Not(view.restarted)),
      view.runs.eq(0),
    ),
    z3.Implies(view.restarted, z3.And(isAt(Ledger.None), z3.Not(view.forgotten))),
    z3.Implies(view.forgotten, isAt(Ledger.None)),
  ];
}

/** A call under one key: its owner, two executors, resends, and frames lost, doubled, late or reordered. */
export const atMostOnce: TransitionSystem = {
  name: 'at-most-once',
  variables: variables(),
  rules: Object.values(AtMostOnceRule),
  depth: 9,
  initial: (z3, state) =>
    z3.And(
      ...Object.entries(variables()).map(([name, sort]) =>
        sort === Sort.Flag
          ? z3.Not(state[name] as Bool<'spec'>)
          : (state[name] as Arith<'spec'>).eq(0),
      ),
    ),
  actions: (z3, state, removed) => [
    ...ownerActions(z3, state, removed),
    ...ATTEMPTS.flatMap((name) => executorActions(z3, state, { name, removed })),
  ],
  properties: (z3, state) => {
    const owner = state.owner as Arith<'spec'>;
    return {
      'runs at most once': totalRuns(state).le(1),
      'not run is true': z3.Implies(owner.eq(Owner.NotRun), totalRuns(state).eq(0)),
      'answered has run': z3.Implies(owner.eq(Owner.Answered), totalRuns(state).ge(1)),
    };
  },
  lemmas: (z3, state) => {
    const owner = state.owner as Arith<'spec'>;
    const [first, second] = [viewOf(state, '1'), viewOf(state, '2')];
    const isAt = (stage: Owner) => owner.eq(stage);
    return [
      z3.And(owner.ge(Owner.Idle), owner.le(Owner.Unknown)),
      ...ATTEMPTS.flatMap((name) => attemptLemmas(z3, state, name)),
      z3.Implies(second.call, first.fence),
      z3.Implies(isAt(Owner.Idle), z3.Not(first.call)),
      z3.Implies(z3.Not(isAt(Owner.Idle)), first.call),
      z3.Implies(z3.Or(isAt(Owner.Waiting2), isAt(Owner.Settling2)), second.call),
      z3.Implies(z3.Or(isAt(Owner.Waiting1), isAt(Owner.Settling1)), z3.Not(second.call)),
      z3.Implies(isAt(Owner.NotRun), first.fence),
      z3.Implies(z3.And(isAt(Owner.NotRun), second.call), second.fence),
    ];
  },
};
