import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Arith, Bool, Expr, Solver } from 'z3-solver';
import { Sort, type Action, type State, type TransitionSystem, type Z3 } from './system.ts';

/** Event loop turns that finalizers need to run after a garbage collection. */
const FINALIZER_TURNS = 3;

/** Result of checking one system. */
export interface CheckReport {
  system: string;
  /** Number of steps within which every property holds. */
  stepsChecked: number;
  /** Properties that are violated within the depth of the search. */
  violated: string[];
  /** Whether the properties and lemmas hold initially and every action preserves them. */
  isInductive: boolean;
  /** For each removed rule, the property that is violated, if any, and the steps searched. */
  mutants: { rule: string; property: string | undefined; steps: number }[];
}

/**
 * Checks a system's properties and searches a counterexample with each rule removed.
 *
 * @param z3 The solver context.
 * @param system The system to check.
 * @returns The report.
 * @throws Error if the solver answers a question with "unknown".
 */
export async function checkSystem(z3: Z3, system: TransitionSystem): Promise<CheckReport> {
  const unmodified = await searchCounterexample(z3, system, new Set());
  const mutants = [];
  for (const rule of system.rules) {
    const { property, steps } = await searchCounterexample(z3, system, new Set([rule]));
    mutants.push({ rule, property, steps });
  }
  return {
    system: system.name,
    stepsChecked: unmodified.property === undefined ? system.depth : unmodified.steps - 1,
    violated: unmodified.property === undefined ? [] : [unmodified.property],
    isInductive: await isInductive(z3, system),
    mutants,
  };
}

/** Unrolls the system step by step and searches a state that violates a property. */
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
    solver.add(makeTransition(z3, system, { state, next, removed }));
    state = next;
    for (const [property, holds] of Object.entries(system.properties(z3, state))) {
      solver.push();
      solver.add(z3.Not(holds));
      const question = `"${property}" of ${system.name} after ${step} steps`;
      const answer = await solve(solver, question);
      solver.pop();
      if (answer === 'sat') return { property, steps: step };
    }
  }
  return { property: undefined, steps: system.depth };
}

/** Reports whether the invariant holds initially and no step leads from a state that satisfies it to one that does not. */
async function isInductive(z3: Z3, system: TransitionSystem): Promise<boolean> {
  const state = makeState(z3, system, 0);
  const next = makeState(z3, system, 1);
  const solver = new z3.Solver();
  solver.add(makeInvariant(z3, system, state));
  solver.add(makeTransition(z3, system, { state, next, removed: new Set() }));
  solver.add(z3.Not(makeInvariant(z3, system, next)));
  const step = await solve(solver, `induction of ${system.name}`);
  const initialSolver = new z3.Solver();
  initialSolver.add(system.initial(z3, state));
  initialSolver.add(z3.Not(makeInvariant(z3, system, state)));
  const initialAnswer = await solve(initialSolver, `the first state of ${system.name}`);
  return step === 'unsat' && initialAnswer === 'unsat';
}

/** Solves a question. Throws on "unknown", which neither proves nor refutes it. */
async function solve(solver: Solver<'spec'>, question: string): Promise<'sat' | 'unsat'> {
  await collectGarbage();
  const answer = await solver.check();
  if (answer === 'unknown') {
    throw new Error(`solver returned "unknown" for ${question}: ${solver.reasonUnknown()}`);
  }
  return answer;
}

/**
 * Collects garbage before the solver runs. The solver runs in a separate thread and its reference
 * counts are not atomic, so no object of its context may be released here at the same time.
 */
async function collectGarbage(): Promise<void> {
  globalThis.gc?.();
  // Finalizers run as separate tasks after the collection.
  for (let turn = 0; turn < FINALIZER_TURNS; turn += 1) await nextTurn();
}

function makeInvariant(z3: Z3, system: TransitionSystem, state: State): Bool<'spec'> {
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

function makeTransition(
  z3: Z3,
  system: TransitionSystem,
  { state, next, removed }: { state: State; next: State; removed: ReadonlySet<string> },
): Bool<'spec'> {
  const actions = system.actions(z3, state, removed);
  return z3.Or(...actions.map((action) => makeActionStep(z3, action, { state, next })));
}

function makeActionStep(
  z3: Z3,
  { guard, changes }: Action,
  { state, next }: { state: State; next: State },
): Bool<'spec'> {
  const updates = Object.entries(next).map(([name, after]) =>
    makeEquality(after, changes[name] ?? state[name]),
  );
  return z3.And(guard, ...updates);
}

function makeEquality(left: Expr<'spec'>, right: Expr<'spec'> | undefined): Bool<'spec'> {
  return (left as Arith<'spec'>).eq(right as Arith<'spec'>);
}
