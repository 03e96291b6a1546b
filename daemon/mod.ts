/**
 * The daemon beside one target.
 *
 * @module
 */
export * from './daemon.ts';
export * from './daemon_process.ts';
export * from './daemon_status.ts';
export * from './hand_over_keys.ts';
export * from './peer_control.ts';
export * from './version_learning.ts';
export * from './world_view.ts';
