/**
 * The daemon that runs beside one target.
 *
 * @module
 */
export * from './cluster_view.ts';
export * from './control_frame_handler.ts';
export * from './daemon.ts';
export * from './daemon_process.ts';
export * from './daemon_status.ts';
export * from './hand_over_keys.ts';
export * from './version_sync.ts';
