import { fitLine, fitGrowthExponent, evaluateLine, type LineFit } from './fit.ts';
import type { Slopes } from './slopes.ts';

/** Size that the design must support, and limits that it must keep at that size. */
export const DESIGN_GOALS = {
  daemons: 1_800,
  services: 310,
  failureDomains: 7,
  callsPerSecond: 110_000,
  versionsPerDay: 1_000,
  /** Replacements and failures of instances. */
  fleetChangesPerDay: 437,
  /** Limits of the control traffic, processor time and memory of a daemon. */
  bytesPerSecond: 5_000,
  coreShare: 0.024,
  memoryBytes: 32_000_000,
  inForceMs: 9_000,
} as const;

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const MEGABYTE = 1_000_000;
/** Watchers of each failure domain; each watches two documents. */
const WATCHERS_PER_DOMAIN = 2;
/** Links that a daemon keeps open for calls, to and from five services on average. */
const CALL_LINKS = 60;

interface Row {
  name: string;
  unit: string;
  fit: LineFit;
  /** Size at which the value is computed. */
  size: number;
  /** What the size counts. */
  sizeUnit: string;
}

/**
 * Makes the tables of the capacity page.
 *
 * @param slopes The measurements.
 * @returns Markdown.
 */
export function makeCapacityTables(slopes: Slopes): string {
  const rows = makeSlopeRows(slopes);
  return [
    '### Measured slopes',
    '',
    renderSlopeTable(rows),
    '',
    '### Worked out at the size aimed at',
    '',
    renderRoleTable(slopes, rows),
    '',
    `Reads at the platform grow with the fleet by an exponent of ${fitReadExponent(slopes).toFixed(2)}`,
    `between ${slopes.control[1]?.daemons ?? 0} and ${slopes.control[2]?.daemons ?? 0} daemons, where every failure domain has its watchers.`,
  ].join('\n');
}

function makeSlopeRows({
  control,
  configuration,
  fleet,
  links,
  linkHeap,
  processes,
}: Slopes): Row[] {
  const fitByDaemons = (value: (run: (typeof control)[number]) => number) =>
    fitLine(control.map((run) => [run.daemons, value(run)]));
  const { daemons, services } = DESIGN_GOALS;
  const followerLinks = countWatcherLinks();
  return [
    makeRow(
      'idle traffic, mean',
      'B/s',
      fitByDaemons((run) => run.idleBytesPerSecond),
      daemons,
      'daemons',
    ),
    makeRow(
      'idle traffic, a watcher',
      'B/s',
      fitByDaemons((run) => run.idleBytesPerSecondMax),
      daemons,
      'daemons',
    ),
    makeRow(
      'one version, mean',
      'B',
      fitByDaemons((run) => run.bytesPerVersion),
      daemons,
      'daemons',
    ),
    makeRow(
      'one version, a watcher',
      'B',
      fitByDaemons((run) => run.bytesPerVersionMax),
      daemons,
      'daemons',
    ),
    makeRow(
      'one list change, mean',
      'B',
      fitByDaemons((run) => run.bytesPerFleetChange),
      daemons,
      'daemons',
    ),
    makeRow(
      'one list change, a watcher',
      'B',
      fitByDaemons((run) => run.bytesPerFleetChangeMax),
      daemons,
      'daemons',
    ),
    makeRow(
      'in force everywhere',
      'ms',
      fitByDaemons((run) => run.inForceMs),
      daemons,
      'daemons',
    ),
    makeRow(
      'applying a version',
      'CPU ms',
      fitLine(configuration.map(({ size, cpuMs }) => [size, cpuMs])),
      services,
      'services',
    ),
    makeRow(
      'applying a list change',
      'CPU ms',
      fitLine(fleet.map(({ size, cpuMs }) => [size, cpuMs])),
      daemons,
      'instances',
    ),
    makeRow(
      'memory of the configuration',
      'B',
      fitLine(configuration.map(({ size, heapBytes }) => [size, heapBytes])),
      services,
      'services',
    ),
    makeRow(
      'memory of the list',
      'B',
      fitLine(fleet.map(({ size, heapBytes }) => [size, heapBytes])),
      daemons,
      'instances',
    ),
    makeRow(
      'memory of links',
      'B',
      fitLine(linkHeap.map(({ links: count, heapBytes }) => [count, heapBytes])),
      followerLinks + CALL_LINKS,
      'links',
    ),
    makeRow(
      'resident memory with links',
      'B',
      fitLine(links.map(({ links: count, residentBytes }) => [count, residentBytes])),
      followerLinks + CALL_LINKS,
      'links',
    ),
    makeRow(
      'processor of idle links',
      'CPU ms/s',
      fitLine(links.map(({ links: count, cpuMsPerSecond }) => [count, cpuMsPerSecond])),
      followerLinks + CALL_LINKS,
      'links',
    ),
    makeRow(
      'resident memory of a process',
      'B',
      fitLine(processes.map(({ daemons: count, residentBytes }) => [count, residentBytes])),
      processes.at(-1)?.daemons ?? 0,
      'processes',
    ),
  ];
}

function makeRow(name: string, unit: string, fit: LineFit, size: number, sizeUnit: string): Row {
  return { name, unit, fit, size, sizeUnit };
}

/** Counts the links of a watcher to its followers. */
function countWatcherLinks(): number {
  return Math.ceil(DESIGN_GOALS.daemons / DESIGN_GOALS.failureDomains);
}

function renderSlopeTable(rows: readonly Row[]): string {
  const heading = '| what | by | points | slope | at zero | R² | largest residual | at the size |';
  const lines = rows.map(({ name, unit, fit, size, sizeUnit }) => {
    const points = fit.points
      .map(([pointSize, value]) => `${pointSize}: ${formatNumber(value)}`)
      .join('; ');
    const cells = [fit.slope, fit.base].map(formatNumber);
    const quality = [
      Number.isNaN(fit.rSquared) ? 'flat' : fit.rSquared.toFixed(2),
      formatNumber(fit.residual),
    ];
    return `| ${name} (${unit}) | ${sizeUnit} | ${points} | ${cells.join(' | ')} | ${quality.join(' | ')} | ${formatNumber(evaluateLine(fit, size))} at ${size} |`;
  });
  return [heading, '| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |', ...lines].join('\n');
}

function renderRoleTable(slopes: Slopes, rows: readonly Row[]): string {
  const getValue = (name: string) => {
    const found = rows.find((each) => each.name === name);
    return found ? evaluateLine(found.fit, found.size) : 0;
  };
  const toPerSecond = (perDay: number) => perDay / SECONDS_PER_DAY;
  const computeTraffic = (role: string) =>
    getValue(`idle traffic, ${role}`) +
    toPerSecond(DESIGN_GOALS.versionsPerDay) * getValue(`one version, ${role}`) +
    toPerSecond(DESIGN_GOALS.fleetChangesPerDay) * getValue(`one list change, ${role}`);
  const applyMs =
    toPerSecond(DESIGN_GOALS.versionsPerDay) * getValue('applying a version') +
    toPerSecond(DESIGN_GOALS.fleetChangesPerDay) * getValue('applying a list change');
  const documentBytes = getValue('memory of the configuration') + getValue('memory of the list');
  const idleMs = getValue('processor of idle links');
  const idleReads = slopes.control.at(-1)?.platformReadsPerSecond ?? 0;
  const changesPerSecond = toPerSecond(
    DESIGN_GOALS.versionsPerDay + DESIGN_GOALS.fleetChangesPerDay,
  );
  const platformReads =
    idleReads + changesPerSecond * WATCHERS_PER_DOMAIN * DESIGN_GOALS.failureDomains;
  const lines = [
    [
      'follower: bytes a second',
      computeTraffic('mean'),
      DESIGN_GOALS.bytesPerSecond,
      'B/s',
      'two links to watchers, patches',
    ],
    [
      'watcher: bytes a second',
      computeTraffic('a watcher'),
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
      (documentBytes + computeLinkResidentBytes(rows)) / MEGABYTE,
      DESIGN_GOALS.memoryBytes / MEGABYTE,
      'MB',
      'the same, with what is not yet collected',
    ],
    [
      'watcher: live objects and buffers',
      (documentBytes + getValue('memory of links')) / MEGABYTE,
      DESIGN_GOALS.memoryBytes / MEGABYTE,
      'MB',
      'two documents, links',
    ],
    [
      'version in force everywhere',
      getValue('in force everywhere'),
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
  const text = lines.map(([name, computed, limit, unit, mechanism]) => {
    const verdict = limit === undefined ? '' : computed <= limit ? 'within' : 'OVER';
    const limitText = limit === undefined ? 'none stated' : `${formatNumber(limit)} ${unit}`;
    return `| ${name} | ${formatNumber(computed)} ${unit} | ${limitText} | ${verdict} | ${mechanism} |`;
  });
  return [
    '| role and cost | worked out | limit | | mechanism |',
    '| --- | ---: | ---: | --- | --- |',
    ...text,
  ].join('\n');
}

/** Computes the resident memory of the links of a watcher to its followers, in bytes. */
function computeLinkResidentBytes(rows: readonly Row[]): number {
  const found = rows.find(({ name }) => name === 'resident memory with links');
  return (found?.fit.slope ?? 0) * countWatcherLinks();
}

/**
 * Fits how reads at the platform grow with the fleet. Leaves out the smallest fleet: with fewer
 * daemons than the full number of watchers, the number of watchers still grows with the fleet.
 */
function fitReadExponent({ control }: Slopes): number {
  return fitGrowthExponent(
    control
      .slice(1)
      .map(({ daemons, platformReadsPerSecond }) => [daemons, platformReadsPerSecond]),
  );
}

function formatNumber(value: number): string {
  if (value === 0) return '0';
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 1 ? 1 : 4;
  return value.toLocaleString('en-US', { maximumFractionDigits: digits });
}
