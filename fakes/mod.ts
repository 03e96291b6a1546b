/**
 * Fakes at the daemons' interfaces, with virtual time, for tests and experiments.
 *
 * @module
 */
export * from './example_call.ts';
export * from './example_configuration.ts';
export * from './fake_platform.ts';
export * from './fake_target.ts';
export * from './memory_network.ts';
export * from './pausable_timer.ts';
export * from './withholding_source.ts';
export * from './in_process_cluster.ts';
