/**
 * rhubarbkeel: a load balancer for servers whose load shifts in milliseconds,
 * and the coordination modules that it is built from.
 *
 * @module
 */
export * from './caller/mod.ts';
export * from './configuration/mod.ts';
export * from './contract/mod.ts';
export * from './daemon/mod.ts';
export * from './entry/mod.ts';
export * from './event_log/mod.ts';
export * from './failure_domain/mod.ts';
export * from './finding/mod.ts';
export * from './guard/mod.ts';
export * from './idempotency/mod.ts';
export * from './instance/mod.ts';
export * from './link/mod.ts';
export * from './metrics/mod.ts';
export * from './placement/mod.ts';
export * from './platform/mod.ts';
export * from './random/mod.ts';
export * from './settings/mod.ts';
export * from './distribution/mod.ts';
export * from './timer/mod.ts';
