/**
 * The fault matrix: every fault at every step of a call and of the distribution of a version, and
 * daemons that know different versions; on real daemons in virtual time.
 *
 * @module
 */
export * from './distribution_case.ts';
export * from './disagreement.ts';
export * from './disagreement_case.ts';
export * from './disagreement_change.ts';
export * from './disagreement_checker.ts';
export * from './disagreement_run.ts';
export * from './fault.ts';
export * from './matrix.ts';
export * from './call_case.ts';
export * from './call_step.ts';
export * from './suite.ts';
