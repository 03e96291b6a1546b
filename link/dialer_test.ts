import t from 'tap';
import { WsDialer } from './mod.ts';

void t.test('WsDialer.dial() returns an error for any text that is no address', async (t) => {
  const dialer = new WsDialer();
  const seen: string[] = [];
  for (const address of [
    'not a host:1',
    '999.1.1.1:1',
    '127.0.0.1:99999',
    'a/b?c#d:1',
    '',
    '[::',
  ]) {
    const dialed = await dialer.dial(address);
    seen.push(`"${address}": ${dialed.isOk() ? 'connected' : 'error'}`);
  }
  t.matchSnapshot(seen, 'results');
});
