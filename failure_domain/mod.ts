/**
 * Failure domains, regions and the restriction of calls to home regions.
 *
 * ```ts
 * import { HomeRegions } from 'rhubarbkeel';
 *
 * const homes = HomeRegions.of(['fes-region']).intersect(HomeRegions.ANYWHERE);
 * console.assert(homes.permits('fes-region') && !homes.permits('casa-region'));
 * ```
 *
 * @module
 */
export * from './failure_domain.ts';
export * from './topology.ts';
export * from './home_regions.ts';
