import { fitLine, fitGrowthExponent, evaluateLine, type LineFit } from './fit.ts';
import type { Slopes } from './slopes.ts';

/** The size that the users aim at. */
export const DESIGN_GOALS = {
  daemons: 1_800,
  services: 310,
  failureDomains: 7,
  callsPerSecond: 110_000,
  versionsPerDay: 1_000,
  /** Instances replaced and failed. */
  fleetChangesPerDay: 437,
  /** Limits of what control may cost a daemon. */
  bytesPerSecond: 5_000,
  coreShare: 0.024,
  memoryBytes: 32_000_000,
  inForceMs: 9_000,
} as const;

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const MEGABYTE = 1_000_000;
/** Watchers of each failure domain, and documents that each watches. */
const WATCHERS = 2;
/** Links that a daemon keeps for calls: to and from five services on average. */
const CALL_LINKS = 60;

interface Row {
  name: string;
  unit: string;
  fit: LineFit;
  /** Size to work the value out for. */
  at: number;
  by: string;
}

/**
 * Makes the tables of the capacity page.
 *
 * @param slopes The measurements.
 * @returns Markdown.
 */
export function makeCapacityTables(slopes: Slopes): string {
  const rows = slopeRows(slopes);
  return [
    '### Measured slopes',
    '',
    slopeTable(rows),
    '',
    '### Worked out at the size aimed at',
    '',
    roleTable(slopes, rows),
    '',
    `Reads at the platform grow with the fleet by an exponent of ${readExponent(slopes).toFixed(2)}`,
    `between ${slopes.control[1]?.daemons ?? 0} and ${slopes.control[2]?.daemons ?? 0} daemons, where every failure domain has its watchers.`,
  ].join('\n');
}

function slopeRows({ control, configuration, fleet, links, linkHeap, processes }: Slopes): Row[] {
  const byDaemons = (value: (run: (typeof control)[number]) => number) =>
    fitLine(control.map((run) => [run.daemons, value(run)]));
  const { daemons, services } = DESIGN_GOALS;
  const followers = watcherLinks();
  return [
    row(
      'idle traffic, mean',
      'B/s',
      byDaemons((run) => run.idleBytesPerSecond),
      daemons,
      'daemons',
    ),
    row(
      'idle traffic, a watcher',
      'B/s',
      byDaemons((run) => run.idleBytesPerSecondMax),
      daemons,
      'daemons',
    ),
    row(
      'one version, mean',
      'B',
      byDaemons((run) => run.bytesPerVersion),
      daemons,
      'daemons',
    ),
    row(
      'one version, a watcher',
      'B',
      byDaemons((run) => run.bytesPerVersionMax),
      daemons,
      'daemons',
    ),
    row(
      'one list change, mean',
      'B',
      byDaemons((run) => run.bytesPerFleetChange),
      daemons,
      'daemons',
    ),
    row(
      'one list change, a watcher',
      'B',
      byDaemons((run) => run.bytesPerFleetChangeMax),
      daemons,
      'daemons',
    ),
    row(
      'in force everywhere',
      'ms',
      byDaemons((run) => run.inForceMs),
      daemons,
      'daemons',
    ),
    row(
      'applying a version',
      'CPU ms',
      fitLine(configuration.map(({ size, cpuMs }) => [size, cpuMs])),
      services,
      'services',
    ),
    row(
      'applying a list change',
      'CPU ms',
      fitLine(fleet.map(({ size, cpuMs }) => [size, cpuMs])),
      daemons,
      'instances',
    ),
    row(
      'memory of the configuration',
      'B',
      fitLine(configuration.map(({ size, heapBytes }) => [size, heapBytes])),
      services,
      'services',
    ),
    row(
      'memory of the list',
      'B',
      fitLine(fleet.map(({ size, heapBytes }) => [size, heapBytes])),
      daemons,
      'instances',
    ),
    row(
      'memory of links',
      'B',
      fitLine(linkHeap.map(({ links: count, heapBytes }) => [count, heapBytes])),
      followers + CALL_LINKS,
      'links',
    ),
    row(
      'resident memory with links',
      'B',
      fitLine(links.map(({ links: count, residentBytes }) => [count, residentBytes])),
      followers + CALL_LINKS,
      'links',
    ),
    row(
      'processor of idle links',
      'CPU ms/s',
      fitLine(links.map(({ links: count, cpuMsPerSecond }) => [count, cpuMsPerSecond])),
      followers + CALL_LINKS,
      'links',
    ),
    row(
      'resident memory of a process',
      'B',
      fitLine(processes.map(({ daemons: count, residentBytes }) => [count, residentBytes])),
      processes.at(-1)?.daemons ?? 0,
      'processes',
    ),
  ];
}

function row(name: string, unit: string, fit: LineFit, at: number, by: string): Row {
  return { name, unit, fit, at, by };
}

/** Links of a watcher to the daemons that follow it. */
function watcherLinks(): number {
  return Math.ceil(DESIGN_GOALS.daemons / DESIGN_GOALS.failureDomains);
}

function slopeTable(rows: readonly Row[]): string {
  const heading = '| what | by | points | slope | at zero | R² | largest residual | at the size |';
  const lines = rows.map(({ name, unit, fit, at, by }) => {
    const points = fit.points.map(([size, value]) => `${size}: ${format(value)}`).join('; ');
    const cells = [fit.slope, fit.base].map(format);
    const quality = [
      Number.isNaN(fit.rSquared) ? 'flat' : fit.rSquared.toFixed(2),
      format(fit.residual),
    ];
    return `| ${name} (${unit}) | ${by} | ${points} | ${cells.join(' | ')} | ${quality.join(' | ')} | ${format(evaluateLine(fit, at))} at ${at} |`;
  });
  return [heading, '| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |', ...lines].join('\n');
}

function roleTable(slopes: Slopes, rows: readonly Row[]): string {
  const value = (name: string) => {
    const found = rows.find((each) => each.name === name);
    return found ? evaluateLine(found.fit, found.at) : 0;
  };
  const perSecond = (perDay: number) => perDay / SECONDS_PER_DAY;
  const traffic = (who: string) =>
    value(`idle traffic, ${who}`) +
    perSecond(DESIGN_GOALS.versionsPerDay) * value(`one version, ${who}`) +
    perSecond(DESIGN_GOALS.fleetChangesPerDay) * value(`one list change, ${who}`);
  const applyMs =
    perSecond(DESIGN_GOALS.versionsPerDay) * value('applying a version') +
    perSecond(DESIGN_GOALS.fleetChangesPerDay) * value('applying a list change');
  const documents = value('memory of the configuration') + value('memory of the list');
  const idleMs = value('processor of idle links');
  const reads = slopes.control.at(-1)?.platformReadsPerSecond ?? 0;
  const changes = perSecond(DESIGN_GOALS.versionsPerDay + DESIGN_GOALS.fleetChangesPerDay);
  const platformReads = reads + changes * WATCHERS * DESIGN_GOALS.failureDomains;
  const lines = [
    [
      'follower: bytes a second',
      traffic('mean'),
      DESIGN_GOALS.bytesPerSecond,
      'B/s',
      'two links to watchers, patches',
    ],
    [
      'watcher: bytes a second',
      traffic('a watcher'),
      DESIGN_GOALS.bytesPerSecond,
      'B/s',
      'one patch to each follower',
    ],
    [
      'watcher: share of a core',
      (idleMs + applyMs) / MS_PER_SECOND,
      DESIGN_GOALS.coreShare,
      '',
      'keepalive, checking each version',
    ],
    [
      'watcher: resident memory above a process without links',
      (documents + residentOfLinks(rows)) / MEGABYTE,
      DESIGN_GOALS.memoryBytes / MEGABYTE,
      'MB',
      'the same, with what is not yet collected',
    ],
    [
      'watcher: live objects and buffers',
      (documents + value('memory of links')) / MEGABYTE,
      DESIGN_GOALS.memoryBytes / MEGABYTE,
      'MB',
      'two documents, links',
    ],
    [
      'version in force everywhere',
      value('in force everywhere'),
      DESIGN_GOALS.inForceMs,
      'ms',
      'watch, then one push',
    ],
    [
      'platform: reads and watches a second',
      platformReads,
      2_000,
      '/s',
      'two watchers a failure domain',
    ],
    [
      'process without load, resident',
      (slopes.processes.at(-1)?.residentBytes ?? 0) / MEGABYTE,
      undefined,
      'MB',
      'Node.js, libraries, control state',
    ],
    [
      'bare Node.js process, resident',
      slopes.bareNodeBytes / MEGABYTE,
      undefined,
      'MB',
      'for comparison',
    ],
  ] as const;
  const text = lines.map(([name, got, limit, unit, mechanism]) => {
    const verdict = limit === undefined ? '' : got <= limit ? 'within' : 'OVER';
    const bound = limit === undefined ? 'none stated' : `${format(limit)} ${unit}`;
    return `| ${name} | ${format(got)} ${unit} | ${bound} | ${verdict} | ${mechanism} |`;
  });
  return [
    '| role and cost | worked out | limit | | mechanism |',
    '| --- | ---: | ---: | --- | --- |',
    ...text,
  ].join('\n');
}

/** Growth of resident memory by the links of a watcher to its followers. */
function residentOfLinks(rows: readonly Row[]): number {
  const found = rows.find(({ name }) => name === 'resident memory with links');
  return (found?.fit.slope ?? 0) * watcherLinks();
}

/** Below one daemon for each watcher's place, the number of watchers still grows with the fleet. */
function readExponent({ control }: Slopes): number {
  return fitGrowthExponent(
    control
      .slice(1)
      .map(({ daemons, platformReadsPerSecond }) => [daemons, platformReadsPerSecond]),
  );
}

function format(value: number): string {
  if (value === 0) return '0';
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 1 ? 1 : 4;
  return value.toLocaleString('en-US', { maximumFractionDigits: digits });
}
