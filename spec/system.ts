import type { Bool, Context, Expr } from 'z3-solver';

/** The checker's context. */
export type Z3 = Context<'spec'>;
/** A state: one expression for each variable. */
export type State = Readonly<Record<string, Expr<'spec'>>>;
/** New values of the variables that an action changes. */
export type Changes = Readonly<Record<string, Expr<'spec'>>>;

/** One kind of step that a system can take. */
export interface Action {
  name: string;
  /** Whether it can be taken. */
  guard: Bool<'spec'>;
  /** What it changes; all else stays. */
  changes: Changes;
}

/** What kind of values a variable has. */
export enum Sort {
  Flag = 'flag',
  Number = 'number',
}

/** A protocol as a small transition system. */
export interface TransitionSystem {
  name: string;
  variables: Readonly<Record<string, Sort>>;
  /** Rules of the protocol; each can be removed to make a mutant. */
  rules: readonly string[];
  /** Steps that suffice to find a counterexample for each mutant. */
  depth: number;
  initial: (z3: Z3, state: State) => Bool<'spec'>;
  /** @returns The actions in a state, with some rules removed. */
  actions: (z3: Z3, state: State, removed: ReadonlySet<string>) => Action[];
  /** What must hold in every reachable state. */
  properties: (z3: Z3, state: State) => Record<string, Bool<'spec'>>;
  /** Facts that, with the properties, are preserved by every action. */
  lemmas: (z3: Z3, state: State) => Bool<'spec'>[];
}
