import type { Bool, Context, Expr } from 'z3-solver';

/** The solver context. */
export type Z3 = Context<'spec'>;
/** A state with one expression for each variable. */
export type State = Readonly<Record<string, Expr<'spec'>>>;
/** New values of the variables that an action changes. */
export type Changes = Readonly<Record<string, Expr<'spec'>>>;

/** One kind of step that a system can take. */
export interface Action {
  name: string;
  /** Condition under which the action can be taken. */
  guard: Bool<'spec'>;
  /** Variables that the action changes; all others keep their values. */
  changes: Changes;
}

/** Type of the values of a variable. */
export enum Sort {
  Flag = 'flag',
  Number = 'number',
}

/** A protocol as a small transition system. */
export interface TransitionSystem {
  name: string;
  variables: Readonly<Record<string, Sort>>;
  /** Rules of the protocol; removing one makes a mutant. */
  rules: readonly string[];
  /** Number of steps that suffices to find a counterexample for each mutant. */
  depth: number;
  /** @returns The condition that an initial state satisfies. */
  initial: (z3: Z3, state: State) => Bool<'spec'>;
  /** @returns The actions in a state, with some rules removed. */
  actions: (z3: Z3, state: State, removed: ReadonlySet<string>) => Action[];
  /** @returns The conditions that must hold in every reachable state, by name. */
  properties: (z3: Z3, state: State) => Record<string, Bool<'spec'>>;
  /** @returns Conditions that, together with the properties, every action preserves. */
  lemmas: (z3: Z3, state: State) => Bool<'spec'>[];
}
