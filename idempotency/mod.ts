/**
 * Issued idempotency keys. Each key allows one execution of one call.
 *
 * ```ts
 * import { KeyOwner, VirtualTimer } from 'rhubarbkeel';
 *
 * const timer = new VirtualTimer();
 * const getRegion = () => 'casa-region';
 * const owner = new KeyOwner({ timer, getRegion, instanceId: 'fee-desk-1', incarnation: 'a' });
 * console.assert(owner.ownsKeysOf('a') && !owner.ownsKeysOf('b'));
 * owner.close();
 * ```
 *
 * @module
 */
export * from './handover.ts';
export * from './kept_answer_budget.ts';
export * from './key_issuer.ts';
export * from './key_owner.ts';
export * from './key_codec.ts';
