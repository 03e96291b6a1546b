import { readFileSync } from 'node:fs';
import t from 'tap';
import { formatFinding } from '../finding/mod.ts';
import { parseSettings } from './mod.ts';

const BROKEN = `{ // every kind of finding
  "instanse": {},
  "instance": { "id": "x", "pool": "boards", "failureDomian": "centro-a" },
  "callers": { "port": 99999 },
  "peers": { "port": "7" },
  "operators": { "port": 1 },
  "target": { "url": "ftp://x" },
  "platform": { "url": "http://127.0.0.1:1" },
  "decisions": { "picker": "twochoices" },
}`;

void t.test('parseSettings() reports all findings with their locations', (t) => {
  const parsed = parseSettings('broken.jsonc', BROKEN);
  t.matchSnapshot(parsed.isErr() ? parsed.error.map(formatFinding) : 'accepted', 'findings');
  const cut = parseSettings('cut.jsonc', '{ "instance": ');
  t.matchSnapshot(cut.isErr() ? cut.error.map(formatFinding) : 'accepted', 'syntax');
  t.end();
});

void t.test('parseSettings() accepts the examples', (t) => {
  for (const name of ['plata', 'qraqeb']) {
    const file = `examples/${name}/daemon.jsonc`;
    t.matchSnapshot(parseSettings(file, readFileSync(file, 'utf8')), name);
  }
  t.end();
});
