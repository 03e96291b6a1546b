import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import { Pool, type Dispatcher } from 'undici';

/** Minimal one-hop proxy that makes no routing decision: the baseline of the benchmarks. */
const url = process.argv[2] ?? '';
const CONNECTIONS = 64;
const pool = new Pool(url, { connections: CONNECTIONS });
const app = new Hono();

app.all('*', async (ctx) => {
  const { pathname, search } = new URL(ctx.req.url);
  const hasBody = ctx.req.method !== 'GET' && ctx.req.method !== 'HEAD';
  const res = await pool.request({
    method: ctx.req.method as Dispatcher.HttpMethod,
    path: pathname + search,
    headers: ctx.req.header(),
    body: hasBody ? new Uint8Array(await ctx.req.arrayBuffer()) : null,
  });
  const body = await res.body.arrayBuffer();
  return new Response(body, {
    status: res.statusCode,
    headers: res.headers as Record<string, string>,
  });
});

const server = serve({ fetch: app.fetch, port: 0, hostname: '127.0.0.1' }, () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`);
});
