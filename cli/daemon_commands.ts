import type { Result } from 'neverthrow';
import type { DaemonStatus } from '../daemon/mod.ts';
import { queryDaemon, type OperatorError } from './operator_client.ts';
import { ExitCode } from './exit_code.ts';
import { formatTable, type Output } from './output.ts';

interface QueryResult<T> {
  address: string;
  result: Result<T, OperatorError>;
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

async function queryAll<T>(addresses: readonly string[], path: string): Promise<QueryResult<T>[]> {
  return Promise.all(
    addresses.map(async (address) => {
      const result = (await queryDaemon(address, path)) as Result<T, OperatorError>;
      return { address, result };
    }),
  );
}

function collectAnswers<T>(results: readonly QueryResult<T>[]): T[] {
  return results.flatMap(({ result }) => (result.isOk() ? [result.value] : []));
}

function reportErrors(results: readonly QueryResult<unknown>[], output: Output): ExitCode {
  const errors = results.flatMap(({ result }) => (result.isErr() ? [result.error] : []));
  for (const { address, detail } of errors) output.printError(`${address}: ${detail}`);
  return errors.length > 0 ? ExitCode.Failed : ExitCode.Done;
}

/**
 * Shows the state of daemons.
 *
 * @param addresses Operator addresses of the daemons, as `host:port`.
 * @param output Receives the results.
 * @returns The exit code.
 */
export async function runStatus(addresses: readonly string[], output: Output): Promise<ExitCode> {
  const results = await queryAll<DaemonStatus>(addresses, '/status');
  const statuses = collectAnswers(results);
  const rows = statuses.map(({ instance, stage, configurationVersion, load, openCalls, links }) => [
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
  output.print(statuses, formatTable([heading, ...rows]));
  return reportErrors(results, output);
}

/**
 * Shows the routes in force at one daemon.
 *
 * @param address Operator address of the daemon, as `host:port`.
 * @param output Receives the results.
 * @returns The exit code.
 */
export async function runRoutes(address: string, output: Output): Promise<ExitCode> {
  const results = await queryAll<RouteRow[]>([address], '/routes');
  const routes = collectAnswers(results).flat();
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
  return reportErrors(results, output);
}

/**
 * Shows which daemons have the newest version in force, and which rejected it.
 *
 * @param addresses Operator addresses of the daemons, as `host:port`.
 * @param output Receives the results.
 * @returns The exit code; `Failed` unless all daemons have the newest version.
 */
export async function runRollout(addresses: readonly string[], output: Output): Promise<ExitCode> {
  const results = await queryAll<DaemonStatus>(addresses, '/status');
  const statuses = collectAnswers(results);
  const newest = Math.max(0, ...statuses.map(getNewestKnown));
  const rows = statuses.map((status) => [
    status.instance,
    String(status.configurationVersion),
    status.configurationVersion === newest ? 'in force' : 'behind',
    status.rejected
      ? `rejected ${status.rejected.version}: ${status.rejected.findings[0] ?? ''}`
      : '',
  ]);
  const behind = statuses.filter(
    ({ configurationVersion }) => configurationVersion < newest,
  ).length;
  const text = formatTable([['instance', 'version', 'state', 'findings'], ...rows]);
  const daemons = statuses.map(({ instance, configurationVersion, rejected }) => ({
    instance,
    configurationVersion,
    rejected,
  }));
  output.print(
    { newest, behind, daemons },
    `${text}\nversion ${newest}: ${behind} of ${statuses.length} behind`,
  );
  const queryExitCode = reportErrors(results, output);
  return behind > 0 ? ExitCode.Failed : queryExitCode;
}

function getNewestKnown({ configurationVersion, rejected }: DaemonStatus): number {
  return Math.max(configurationVersion, rejected?.version ?? 0);
}

/**
 * Shows the decisions that daemons made for a call.
 *
 * @param callId Identifier of the call, from its answer's header.
 * @param addresses Operator addresses of the daemons, as `host:port`.
 * @param output Receives the results.
 * @returns The exit code; `Failed` if no daemon has events of the call.
 */
export async function runExplain(
  callId: string,
  addresses: readonly string[],
  output: Output,
): Promise<ExitCode> {
  const results = await queryAll<string[]>(addresses, `/explain/${encodeURIComponent(callId)}`);
  const lines = collectAnswers(results).flat();
  output.print({ call: callId, lines }, lines.join('\n'));
  const queryExitCode = reportErrors(results, output);
  if (lines.length > 0) return queryExitCode;
  output.printError(`no daemon has events of call "${callId}"`);
  return ExitCode.Failed;
}
