/**
 * Stand-ins for the systems around the daemons, for tests, benchmarks and the demonstration.
 *
 * @module
 */
export * from './platform_items.ts';
export * from './platform_stand_in.ts';
export * from './platform_target.ts';
export * from './store_stand_in.ts';
export * from './target_stand_in.ts';
