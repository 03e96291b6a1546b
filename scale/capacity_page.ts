import type { Slopes } from './slopes.ts';
import { makeCapacityTables } from './capacity_tables.ts';

const BEGIN = '<!-- tables: made by npm run capacity -->';
const END = '<!-- end of tables -->';

/**
 * Puts tables that are made from the measurements into the page.
 *
 * @param page The page as it stands.
 * @param slopes The measurements.
 * @returns The page with new tables.
 */
export function renderCapacityPage(page: string, slopes: Slopes): string {
  const start = page.indexOf(BEGIN) + BEGIN.length;
  const end = page.indexOf(END);
  return `${page.slice(0, start)}\n\n${makeCapacityTables(slopes)}\n\n${page.slice(end)}`;
}
