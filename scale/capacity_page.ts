import type { Slopes } from './slopes.ts';
import { makeCapacityTables } from './capacity_tables.ts';

const TABLES_BEGIN = '<!-- tables: made by npm run capacity -->';
const TABLES_END = '<!-- end of tables -->';

/**
 * Replaces the tables of the capacity page with tables made from the measurements.
 *
 * @param page Current text of the page.
 * @param slopes The measurements.
 * @returns Text of the page with the new tables.
 */
export function renderCapacityPage(page: string, slopes: Slopes): string {
  const start = page.indexOf(TABLES_BEGIN) + TABLES_BEGIN.length;
  const end = page.indexOf(TABLES_END);
  return `${page.slice(0, start)}\n\n${makeCapacityTables(slopes)}\n\n${page.slice(end)}`;
}
