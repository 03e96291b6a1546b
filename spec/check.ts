import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Arith, Bool, Expr, Solver } from 'z3-solver';
import { Sort, type Action, type State, type TransitionSystem, type Z3 } from './system.ts';

/** Turns of the event loop in which finalizers run after a collection. */
const FINALIZER_TURNS = 3;

/** What the checker found out about one system. */
export interface CheckReport {
  system: string;
  /** Properties that hold in every state reachable within the bound. */
  stepsChecked: number;
  /** Properties that are broken within the bound. */
  violated: string[];
  /** Whether the properties with the lemmas are preserved by every action, from any state. */
  isInductive: boolean;
  /** For each removed rule, the property that breaks and after how many steps. */
  mutants: { rule: string; property: string | undefined; steps: number }[];
}

/**
 * Checks a system, and that each of its rules is needed.
 *
 * @param z3 The checker's context.
 * @param system The system.
 * @returns What was found.
 */
export async function checkSystem(z3: Z3, system: TransitionSystem): Promise<CheckReport> {
  const found = await searchCounterexample(z3, system, new Set());
  const mutants = [];
  for (const rule of system.rules) {
    const { property, steps } = await searchCounterexample(z3, system, new Set([rule]));
    mutants.push({ rule, property, steps });
  }
  return {
    system: system.name,
    stepsChecked: found.property === undefined ? system.depth : found.steps - 1,
    violated: found.property === undefined ? [] : [found.property],
    isInductive: await isInductive(z3, system),
    mutants,
  };
}

/** Unrolls the system step by step and asks for a state that breaks a property. */
async function searchCounterexample(
  z3: Z3,
  system: TransitionSystem,
  removed: ReadonlySet<string>,
): Promise<{ property: string | undefined; steps: number }> {
  const solver = new z3.Solver();
  let state = makeState(z3, system, 0);
  solver.add(system.initial(z3, state));
  for (let step = 1; step <= system.depth; step += 1) {
    const next = makeState(z3, system, step);
    solver.add(transition(z3, system, { state, next, removed }));
    state = next;
    for (const [property, holds] of Object.entries(system.properties(z3, state))) {
      solver.push();
      solver.add(z3.Not(holds));
      const question = `"${property}" of ${system.name} after ${step} steps`;
      const answer = await decide(solver, question);
      solver.pop();
      if (answer === 'sat') return { property, steps: step };
    }
  }
  return { property: undefined, steps: system.depth };
}

/** Asks for a step from a state in which everything holds to one in which something does not. */
async function isInductive(z3: Z3, system: TransitionSystem): Promise<boolean> {
  const state = makeState(z3, system, 0);
  const next = makeState(z3, system, 1);
  const solver = new z3.Solver();
  solver.add(invariant(z3, system, state));
  solver.add(transition(z3, system, { state, next, removed: new Set() }));
  solver.add(z3.Not(invariant(z3, system, next)));
  const step = await decide(solver, `induction of ${system.name}`);
  const start = new z3.Solver();
  start.add(system.initial(z3, state));
  start.add(z3.Not(invariant(z3, system, state)));
  const initial = await decide(start, `the first state of ${system.name}`);
  return step === 'unsat' && initial === 'unsat';
}

/** A question without an answer is neither proved nor refuted, and must not pass for either. */
async function decide(solver: Solver<'spec'>, question: string): Promise<'sat' | 'unsat'> {
  await collectGarbage();
  const answer = await solver.check();
  if (answer === 'unknown') {
    throw new Error(`the solver left open: ${question}, ${solver.reasonUnknown()}`);
  }
  return answer;
}

/**
 * The solver runs in a thread of its own and its counts of references are not
 * atomic, so nothing of its context may be released here meanwhile.
 */
async function collectGarbage(): Promise<void> {
  globalThis.gc?.();
  // Finalizers run as tasks of their own, after the collection.
  for (let turn = 0; turn < FINALIZER_TURNS; turn += 1) await nextTurn();
}

function invariant(z3: Z3, system: TransitionSystem, state: State): Bool<'spec'> {
  const properties = Object.values(system.properties(z3, state));
  return z3.And(...properties, ...system.lemmas(z3, state));
}

function makeState(z3: Z3, system: TransitionSystem, step: number): State {
  const entries = Object.entries(system.variables).map(([name, sort]) => {
    const label = `${name}@${step}`;
    return [name, sort === Sort.Flag ? z3.Bool.const(label) : z3.Int.const(label)] as const;
  });
  return Object.fromEntries(entries);
}

function transition(
  z3: Z3,
  system: TransitionSystem,
  { state, next, removed }: { state: State; next: State; removed: ReadonlySet<string> },
): Bool<'spec'> {
  const actions = system.actions(z3, state, removed);
  return z3.Or(...actions.map((action) => take(z3, action, { state, next })));
}

function take(
  z3: Z3,
  { guard, changes }: Action,
  { state, next }: { state: State; next: State },
): Bool<'spec'> {
  const updates = Object.entries(next).map(([name, after]) =>
    isEqual(after, changes[name] ?? state[name]),
  );
  return z3.And(guard, ...updates);
}

function isEqual(left: Expr<'spec'>, right: Expr<'spec'> | undefined): Bool<'spec'> {
  return (left as Arith<'spec'>).eq(right as Arith<'spec'>);
}
