/**
 * Instances: machines that each run a target and a daemon.
 *
 * ```ts
 * import { Fleet, InstanceStage } from 'rhubarbkeel';
 *
 * const fleet = new Fleet(1, [{
 *   id: 'boards-1',
 *   pool: 'boards',
 *   failureDomain: 'centro-a',
 *   peerAddress: '127.0.0.1:7001',
 *   callerAddress: '127.0.0.1:8001',
 *   stage: InstanceStage.Live,
 * }]);
 * console.assert(fleet.activeInstancesOf('boards').length === 1);
 * ```
 *
 * @module
 */
export * from './fleet.ts';
export * from './incarnation.ts';
export * from './instance.ts';
