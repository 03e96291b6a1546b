/**
 * Issued idempotency keys: each allows one execution of one call.
 *
 * ```ts
 * import { KeyOwner, VirtualTimer } from 'rhubarbkeel';
 *
 * const timer = new VirtualTimer();
 * const region = () => 'casa-region';
 * const owner = new KeyOwner({ timer, region, instanceId: 'fee-desk-1', incarnation: 'a' });
 * console.assert(owner.holds('a') && !owner.holds('b'));
 * owner.close();
 * ```
 *
 * @module
 */
export * from './handover.ts';
export * from './kept_answers.ts';
export * from './key_issuer.ts';
export * from './key_owner.ts';
export * from './key_text.ts';
