import { err, ok, type Result } from 'neverthrow';
import { makeNotRunRefusal, RefusalReason, type Refusal } from './refusal.ts';
import type { Route, Workspace } from './route.ts';

/** Properties of a call that determine its route. */
export interface RouteQuery {
  /** Workspace named by the caller, if any. */
  workspace: string | undefined;
  /** Host name of the call, without port. */
  host: string;
  method: string;
  /** Path without the query. */
  path: string;
}

/** Finds the route of a call. */
export class RouteTable {
  readonly #workspaces = new Map<string, Workspace>();
  readonly #workspaceByHost = new Map<string, Workspace>();
  readonly #routes = new Map<string, Route[]>();

  /**
   * @param workspaces The workspaces.
   * @param routes The routes; the longest matching path wins.
   */
  constructor(workspaces: readonly Workspace[], routes: readonly Route[]) {
    for (const workspace of workspaces) {
      this.#workspaces.set(workspace.name, workspace);
      for (const host of workspace.hosts) this.#workspaceByHost.set(host, workspace);
    }
    const longestFirst = [...routes].sort((a, b) => b.path.length - a.path.length);
    for (const route of longestFirst) {
      const workspaceRoutes = this.#routes.get(route.workspace) ?? [];
      workspaceRoutes.push(route);
      this.#routes.set(route.workspace, workspaceRoutes);
    }
  }

  /**
   * Finds the route of a call.
   *
   * @param query Properties of the call.
   * @returns The route, or a refusal.
   */
  find(query: RouteQuery): Result<Route, Refusal> {
    const workspace = this.#findWorkspace(query);
    if (!workspace) {
      const detail = `no workspace for host "${query.host}" and name "${query.workspace ?? ''}"`;
      return err(makeNotRunRefusal(RefusalReason.UnknownWorkspace, detail));
    }
    const route = this.#routes.get(workspace.name)?.find((each) => matches(each, query));
    if (route) return ok(route);
    const detail = `workspace "${workspace.name}" has no route for ${query.method} ${query.path}`;
    return err(makeNotRunRefusal(RefusalReason.UnknownRoute, detail));
  }

  /**
   * Finds a route by name.
   *
   * @param workspace Name of its workspace.
   * @param route Name of the route.
   * @returns The route, if there is one.
   */
  findByName(workspace: string, route: string): Route | undefined {
    return this.#routes.get(workspace)?.find((each) => each.name === route);
  }

  /** @returns All routes. */
  get routes(): Route[] {
    return [...this.#routes.values()].flat();
  }

  #findWorkspace(query: RouteQuery): Workspace | undefined {
    if (query.workspace !== undefined) return this.#workspaces.get(query.workspace);
    return this.#workspaceByHost.get(query.host);
  }
}

function matches(route: Route, query: RouteQuery): boolean {
  if (route.methods && !route.methods.includes(query.method)) return false;
  if (!query.path.startsWith(route.path)) return false;
  const next = query.path[route.path.length];
  return next === undefined || next === '/' || route.path.endsWith('/');
}
