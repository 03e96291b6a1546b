import t from 'tap';
import { parseSettings, reloadSettings } from './mod.ts';

function makeSettings(changes: object) {
  const text = JSON.stringify({
    instance: { id: 'boards-1', pool: 'boards', failureDomain: 'centro-a' },
    callers: '127.0.0.1:8001',
    peers: '127.0.0.1:7001',
    operators: '127.0.0.1:9001',
    target: { url: 'http://127.0.0.1:8101' },
    platform: { url: 'http://127.0.0.1:8309' },
    ...changes,
  });
  return parseSettings('settings.jsonc', text)._unsafeUnwrap();
}

void t.test('reloadSettings() applies what a running daemon can change', (t) => {
  const before = makeSettings({});
  const changes: Record<string, object> = {
    nothing: {},
    'retries and times': { retries: { fleetBurst: 62 }, lameDuckMs: 2_500, drainTimeoutMs: '6s' },
    'an address and a time': { callers: '127.0.0.1:8002', lameDuckMs: 100 },
  };
  for (const [name, change] of Object.entries(changes)) {
    const { applied, deferred, settings: after } = reloadSettings(before, makeSettings(change));
    const { callers, retries, lameDuckMs, drainTimeoutMs } = after;
    t.matchSnapshot({ applied, deferred, callers, retries, lameDuckMs, drainTimeoutMs }, name);
  }
  t.end();
});
