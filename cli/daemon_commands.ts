import type { Result } from 'neverthrow';
import type { DaemonStatus } from '../daemon/mod.ts';
import { queryDaemon, type OperatorError } from './operator_client.ts';
import { ExitCode } from './exit_code.ts';
import { formatTable, type Output } from './output.ts';

interface Asked<T> {
  address: string;
  answer: Result<T, OperatorError>;
}

interface RouteRow {
  workspace: string;
  name: string;
  methods?: string[];
  path: string;
  pools: { pool: string }[];
  repeatability: string;
  homeRegions: string;
}

async function askAll<T>(addresses: readonly string[], path: string): Promise<Asked<T>[]> {
  return Promise.all(
    addresses.map(async (address) => {
      const answer = (await queryDaemon(address, path)) as Result<T, OperatorError>;
      return { address, answer };
    }),
  );
}

function answersOf<T>(asked: readonly Asked<T>[]): T[] {
  return asked.flatMap(({ answer }) => (answer.isOk() ? [answer.value] : []));
}

function reportErrors(asked: readonly Asked<unknown>[], output: Output): ExitCode {
  const errors = asked.flatMap(({ answer }) => (answer.isErr() ? [answer.error] : []));
  for (const { address, detail } of errors) output.printError(`${address}: ${detail}`);
  return errors.length > 0 ? ExitCode.Failed : ExitCode.Done;
}

/**
 * Shows the state of daemons.
 *
 * @param addresses Their addresses for operators.
 * @param output Where results go.
 * @returns How the tool ends.
 */
export async function runStatus(addresses: readonly string[], output: Output): Promise<ExitCode> {
  const asked = await askAll<DaemonStatus>(addresses, '/status');
  const all = answersOf(asked);
  const rows = all.map(({ instance, stage, configurationVersion, load, openCalls, links }) => [
    instance,
    stage,
    String(configurationVersion),
    load.stage,
    `${load.inFlight}/${load.limit}`,
    String(load.queued),
    String(openCalls),
    String(links),
  ]);
  const heading = ['instance', 'stage', 'version', 'target', 'running', 'queued', 'open', 'links'];
  output.print(all, formatTable([heading, ...rows]));
  return reportErrors(asked, output);
}

/**
 * Shows the routes in force at one daemon.
 *
 * @param address Its address for operators.
 * @param output Where results go.
 * @returns How the tool ends.
 */
export async function runRoutes(address: string, output: Output): Promise<ExitCode> {
  const asked = await askAll<RouteRow[]>([address], '/routes');
  const routes = answersOf(asked).flat();
  const rows = routes.map((route) => [
    route.workspace,
    route.name,
    route.methods?.join(',') ?? 'any',
    route.path,
    route.pools.map(({ pool }) => pool).join(','),
    route.repeatability,
    route.homeRegions,
  ]);
  const heading = ['workspace', 'route', 'methods', 'path', 'pool', 'repeatability', 'regions'];
  output.print(routes, formatTable([heading, ...rows]));
  return reportErrors(asked, output);
}

/**
 * Shows which daemons have the newest version in force, and which refused it.
 *
 * @param addresses Their addresses for operators.
 * @param output Where results go.
 * @returns How the tool ends; failed unless all have the newest version.
 */
export async function runRollout(addresses: readonly string[], output: Output): Promise<ExitCode> {
  const asked = await askAll<DaemonStatus>(addresses, '/status');
  const all = answersOf(asked);
  const newest = Math.max(0, ...all.map(newestKnown));
  const rows = all.map((status) => [
    status.instance,
    String(status.configurationVersion),
    status.configurationVersion === newest ? 'in force' : 'behind',
    status.rejected
      ? `refused ${status.rejected.version}: ${status.rejected.findings[0] ?? ''}`
      : '',
  ]);
  const behind = all.filter(({ configurationVersion }) => configurationVersion < newest).length;
  const text = formatTable([['instance', 'version', 'state', 'findings'], ...rows]);
  const daemons = all.map(({ instance, configurationVersion, rejected }) => ({
    instance,
    configurationVersion,
    rejected,
  }));
  output.print(
    { newest, behind, daemons },
    `${text}\nversion ${newest}: ${behind} of ${all.length} behind`,
  );
  const reached = reportErrors(asked, output);
  return behind > 0 ? ExitCode.Failed : reached;
}

function newestKnown({ configurationVersion, rejected }: DaemonStatus): number {
  return Math.max(configurationVersion, rejected?.version ?? 0);
}

/**
 * Shows why a call went where it did.
 *
 * @param callId Identifier of the call, from its answer's header.
 * @param addresses Addresses of daemons for operators.
 * @param output Where results go.
 * @returns How the tool ends; failed if no daemon remembers the call.
 */
export async function runExplain(
  callId: string,
  addresses: readonly string[],
  output: Output,
): Promise<ExitCode> {
  const asked = await askAll<string[]>(addresses, `/explain/${encodeURIComponent(callId)}`);
  const lines = answersOf(asked).flat();
  output.print({ call: callId, lines }, lines.join('\n'));
  const reached = reportErrors(asked, output);
  if (lines.length > 0) return reached;
  output.printError(`no daemon remembers call "${callId}"`);
  return ExitCode.Failed;
}
