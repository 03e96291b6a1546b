import type { Arith, Bool } from 'z3-solver';
import { Sort, type Action, type State, type TransitionSystem, type Z3 } from './system.ts';

/** Stage of the call at the owner of its key. */
enum OwnerStage {
  Idle = 0,
  Waiting1 = 1,
  Settling1 = 2,
  Waiting2 = 3,
  Settling2 = 4,
  Answered = 5,
  NotRun = 6,
  Unknown = 7,
}

/** State of an attempt in the ledger of its executor. */
enum LedgerState {
  None = 0,
  Queued = 1,
  Running = 2,
  Completed = 3,
  Fenced = 4,
}

/** Rules of the protocol for calls that run at most once. */
export enum AtMostOnceRule {
  /** Settling an attempt that has not started fences it. */
  FenceOnSettle = 'fence-on-settle',
  /** The owner retries only once the previous attempt is fenced. */
  SettleBeforeRetry = 'settle-before-retry',
  /** An attempt can be settled only with the executor incarnation to which it was sent. */
  SameIncarnation = 'same-incarnation',
  /** An owner that has restarted never runs calls under keys from before the restart. */
  OwnerForgetsNothing = 'owner-forgets-nothing',
  /** The ledger accepts an attempt only once. */
  AcceptOnce = 'accept-once',
  /** An attempt that was fenced while queued does not start. */
  CheckFenceAtStart = 'check-fence-at-start',
  /** The ledger refuses an attempt whose record it has dropped and reports its result as lost. */
  RememberForgotten = 'remember-forgotten',
  /** A resent call joins the execution under its key. */
  JoinResends = 'join-resends',
  /** A restarted executor drops frames sent to its former incarnation. */
  DropOldFrames = 'drop-old-frames',
}

const ATTEMPTS = ['1', '2'] as const;
type AttemptName = (typeof ATTEMPTS)[number];

/** Variables of one attempt. */
interface AttemptView {
  /** A call frame was sent; it may be delivered any number of times, at any time. */
  call: Bool<'spec'>;
  ledger: Arith<'spec'>;
  /** The executor has restarted since the attempt was sent. */
  restarted: Bool<'spec'>;
  /** The ledger has dropped the record of the attempt. */
  forgotten: Bool<'spec'>;
  runs: Arith<'spec'>;
  /** An answer was sent to the owner. */
  answer: Bool<'spec'>;
  /** A fence was confirmed to the owner. */
  fence: Bool<'spec'>;
  /** The owner was told that the result is lost. */
  loss: Bool<'spec'>;
  /** The owner has asked to settle the attempt. */
  settle: Bool<'spec'>;
}

function makeAttemptView(state: State, name: AttemptName): AttemptView {
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

function makeVariables(): Record<string, Sort> {
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

function makeExecutorActions(
  z3: Z3,
  state: State,
  { name, removed }: { name: AttemptName; removed: ReadonlySet<string> },
): Action[] {
  const view = makeAttemptView(state, name);
  const yes = z3.Bool.val(true);
  const value = (number: number) => z3.Int.val(number);
  const isAt = (stage: LedgerState) => view.ledger.eq(value(stage));
  const isDeliverable = removed.has(AtMostOnceRule.DropOldFrames) ? yes : z3.Not(view.restarted);
  const isNew = removed.has(AtMostOnceRule.AcceptOnce)
    ? yes
    : z3.And(isAt(LedgerState.None), z3.Not(view.forgotten));
  const canStart = removed.has(AtMostOnceRule.CheckFenceAtStart)
    ? z3.Or(isAt(LedgerState.Queued), isAt(LedgerState.Fenced))
    : isAt(LedgerState.Queued);
  const hasNotStarted = z3.Or(
    z3.And(isAt(LedgerState.None), z3.Not(view.forgotten)),
    isAt(LedgerState.Queued),
    isAt(LedgerState.Fenced),
  );
  const fenceChange = removed.has(AtMostOnceRule.FenceOnSettle)
    ? {}
    : { [`ledger${name}`]: value(LedgerState.Fenced) };
  const forgetChange = removed.has(AtMostOnceRule.RememberForgotten)
    ? {}
    : { [`forgotten${name}`]: yes };
  const isSettledHere = z3.And(view.settle, z3.Not(view.restarted));
  return [
    {
      name: `deliver${name}`,
      guard: z3.And(view.call, isDeliverable, isNew),
      changes: { [`ledger${name}`]: value(LedgerState.Queued) },
    },
    {
      name: `run${name}`,
      guard: canStart,
      changes: { [`ledger${name}`]: value(LedgerState.Running), [`runs${name}`]: view.runs.add(1) },
    },
    {
      name: `end${name}`,
      guard: isAt(LedgerState.Running),
      changes: { [`ledger${name}`]: value(LedgerState.Completed), [`answer${name}`]: yes },
    },
    {
      name: `refuse${name}`,
      guard: isAt(LedgerState.Queued),
      changes: { [`ledger${name}`]: value(LedgerState.Fenced), [`fence${name}`]: yes },
    },
    {
      name: `settleNotStarted${name}`,
      guard: z3.And(isSettledHere, hasNotStarted),
      changes: { ...fenceChange, [`fence${name}`]: yes },
    },
    {
      name: `settleEnded${name}`,
      guard: z3.And(isSettledHere, isAt(LedgerState.Completed)),
      changes: { [`answer${name}`]: yes },
    },
    {
      name: `settleForgotten${name}`,
      guard: z3.And(isSettledHere, isAt(LedgerState.None), view.forgotten),
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
      guard: z3.Or(isAt(LedgerState.Completed), isAt(LedgerState.Fenced)),
      changes: { [`ledger${name}`]: value(LedgerState.None), ...forgetChange },
    },
    {
      name: `restartExecutor${name}`,
      guard: view.call,
      changes: {
        [`ledger${name}`]: value(LedgerState.None),
        [`forgotten${name}`]: z3.Bool.val(false),
        [`restarted${name}`]: yes,
      },
    },
  ];
}

function makeOwnerActions(z3: Z3, state: State, removed: ReadonlySet<string>): Action[] {
  const owner = state.owner as Arith<'spec'>;
  const yes = z3.Bool.val(true);
  const isAt = (stage: OwnerStage) => owner.eq(z3.Int.val(stage));
  const moveTo = (stage: OwnerStage) => ({ owner: z3.Int.val(stage) });
  const sendSecond = { ...moveTo(OwnerStage.Waiting2), call2: yes };
  const [first, second] = [makeAttemptView(state, '1'), makeAttemptView(state, '2')];
  const at1 = z3.Or(isAt(OwnerStage.Waiting1), isAt(OwnerStage.Settling1));
  const at2 = z3.Or(isAt(OwnerStage.Waiting2), isAt(OwnerStage.Settling2));
  const actions: Action[] = [
    {
      name: 'start',
      guard: isAt(OwnerStage.Idle),
      changes: { ...moveTo(OwnerStage.Waiting1), call1: yes },
    },
    {
      name: 'lose1',
      guard: isAt(OwnerStage.Waiting1),
      changes: { ...moveTo(OwnerStage.Settling1), settle1: yes },
    },
    {
      name: 'lose2',
      guard: isAt(OwnerStage.Waiting2),
      changes: { ...moveTo(OwnerStage.Settling2), settle2: yes },
    },
    { name: 'answered1', guard: z3.And(at1, first.answer), changes: moveTo(OwnerStage.Answered) },
    { name: 'answered2', guard: z3.And(at2, second.answer), changes: moveTo(OwnerStage.Answered) },
    { name: 'retry', guard: z3.And(at1, first.fence), changes: sendSecond },
    { name: 'notRun1', guard: z3.And(at1, first.fence), changes: moveTo(OwnerStage.NotRun) },
    { name: 'notRun2', guard: z3.And(at2, second.fence), changes: moveTo(OwnerStage.NotRun) },
    {
      name: 'resendAfterNotRun',
      guard: z3.And(isAt(OwnerStage.NotRun), z3.Not(second.call)),
      changes: sendSecond,
    },
    { name: 'unknown1', guard: z3.And(at1, first.loss), changes: moveTo(OwnerStage.Unknown) },
    { name: 'unknown2', guard: z3.And(at2, second.loss), changes: moveTo(OwnerStage.Unknown) },
    {
      name: 'giveUp',
      guard: z3.Or(isAt(OwnerStage.Settling1), isAt(OwnerStage.Settling2)),
      changes: moveTo(OwnerStage.Unknown),
    },
    {
      name: 'restartOwner',
      guard: z3.Not(isAt(OwnerStage.Idle)),
      changes: removed.has(AtMostOnceRule.OwnerForgetsNothing)
        ? sendSecond
        : moveTo(OwnerStage.Unknown),
    },
  ];
  if (removed.has(AtMostOnceRule.SettleBeforeRetry)) {
    actions.push({
      name: 'retryUnsettled',
      guard: isAt(OwnerStage.Settling1),
      changes: sendSecond,
    });
  }
  if (removed.has(AtMostOnceRule.JoinResends)) {
    actions.push({ name: 'resendRuns', guard: isAt(OwnerStage.Answered), changes: sendSecond });
  }
  return actions;
}

function sumRuns(state: State): Arith<'spec'> {
  return makeAttemptView(state, '1').runs.add(makeAttemptView(state, '2').runs);
}

function makeAttemptLemmas(z3: Z3, state: State, name: AttemptName): Bool<'spec'>[] {
  const view = makeAttemptView(state, name);
  const isAt = (stage: LedgerState) => view.ledger.eq(z3.Int.val(stage));
  const hasRun = view.runs.eq(1);
  const cannotRun = z3.Or(isAt(LedgerState.Fenced), view.forgotten, view.restarted);
  return [
    z3.And(view.runs.ge(0), view.runs.le(1)),
    z3.And(view.ledger.ge(LedgerState.None), view.ledger.le(LedgerState.Fenced)),
    z3.Implies(
      z3.Not(view.call),
      z3.And(isAt(LedgerState.None), view.runs.eq(0), z3.Not(view.answer), z3.Not(view.fence)),
    ),
    z3.Implies(
      z3.Not(view.call),
      z3.And(z3.Not(view.restarted), z3.Not(view.forgotten), z3.Not(view.settle)),
    ),
    z3.Implies(view.answer, hasRun),
    z3.Implies(view.fence, z3.And(view.runs.eq(0), cannotRun)),
    z3.Implies(z3.Or(isAt(LedgerState.Running), isAt(LedgerState.Completed)), hasRun),
    z3.Implies(z3.Or(isAt(LedgerState.Queued), isAt(LedgerState.Fenced)), view.runs.eq(0)),
    z3.Implies(
      z3.And(isAt(LedgerState.None), z3.Not(view.forgotten), z3.Not(view.restarted)),
      view.runs.eq(0),
    ),
    z3.Implies(view.restarted, z3.And(isAt(LedgerState.None), z3.Not(view.forgotten))),
    z3.Implies(view.forgotten, isAt(LedgerState.None)),
  ];
}

/**
 * Models a call under one key: its owner, two executors and resends. Frames may be lost, duplicated,
 * delayed or reordered.
 */
export const atMostOnce: TransitionSystem = {
  name: 'at-most-once',
  variables: makeVariables(),
  rules: Object.values(AtMostOnceRule),
  depth: 9,
  initial: (z3, state) =>
    z3.And(
      ...Object.entries(makeVariables()).map(([name, sort]) =>
        sort === Sort.Flag
          ? z3.Not(state[name] as Bool<'spec'>)
          : (state[name] as Arith<'spec'>).eq(0),
      ),
    ),
  actions: (z3, state, removed) => [
    ...makeOwnerActions(z3, state, removed),
    ...ATTEMPTS.flatMap((name) => makeExecutorActions(z3, state, { name, removed })),
  ],
  properties: (z3, state) => {
    const owner = state.owner as Arith<'spec'>;
    return {
      'runs at most once': sumRuns(state).le(1),
      'not run is true': z3.Implies(owner.eq(OwnerStage.NotRun), sumRuns(state).eq(0)),
      'answered has run': z3.Implies(owner.eq(OwnerStage.Answered), sumRuns(state).ge(1)),
    };
  },
  lemmas: (z3, state) => {
    const owner = state.owner as Arith<'spec'>;
    const [first, second] = [makeAttemptView(state, '1'), makeAttemptView(state, '2')];
    const isAt = (stage: OwnerStage) => owner.eq(stage);
    return [
      z3.And(owner.ge(OwnerStage.Idle), owner.le(OwnerStage.Unknown)),
      ...ATTEMPTS.flatMap((name) => makeAttemptLemmas(z3, state, name)),
      z3.Implies(second.call, first.fence),
      z3.Implies(isAt(OwnerStage.Idle), z3.Not(first.call)),
      z3.Implies(z3.Not(isAt(OwnerStage.Idle)), first.call),
      z3.Implies(z3.Or(isAt(OwnerStage.Waiting2), isAt(OwnerStage.Settling2)), second.call),
      z3.Implies(z3.Or(isAt(OwnerStage.Waiting1), isAt(OwnerStage.Settling1)), z3.Not(second.call)),
      z3.Implies(isAt(OwnerStage.NotRun), first.fence),
      z3.Implies(z3.And(isAt(OwnerStage.NotRun), second.call), second.fence),
    ];
  },
};
