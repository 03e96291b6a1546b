import { readFileSync } from 'node:fs';
import t from 'tap';
import { JsoncDocument, formatFinding } from '../finding/mod.ts';
import { applyPatch } from './patch_command.ts';

const file = 'examples/qraqeb/configuration.jsonc';
const current = new JsoncDocument(file, readFileSync(file, 'utf8'));

function tryPatch(patch: string): string[] {
  return applyPatch(current, new JsoncDocument('change.json', patch)).match(
    ({ version }) => [`version ${version}`],
    (findings) => findings.map(formatFinding),
  );
}

const CASES = {
  'a failure domain taken out of service':
    '{"base":1,"patch":[{"op":"add","path":"/failureDomains/0/state","value":"out"}]}',
  'a wrong base': '{"base":4,"patch":[{"op":"remove","path":"/routes/0"}]}',
  'operations that cannot be applied':
    '{"base":1,"patch":[{"op":"remove","path":"/none"},{"op":"replace","path":"/routes/9/pool","value":"x"}]}',
  'a result with findings':
    '{"base":1,"patch":[{"op":"replace","path":"/routes/0/pool","value":"fee-desc"},{"op":"replace","path":"/routes/1/timeoutMs","value":-1}]}',
  'home regions that exclude each other':
    '{"base":1,"patch":[{"op":"add","path":"/routes/2/homeRegions","value":["casa-region"]}]}',
  'an unknown operation': '{"base":1,"patch":[{"op":"rename","path":"/routes/0"}]}',
};

void t.test('applyPatch() returns the next version or all findings', (t) => {
  for (const [name, patch] of Object.entries(CASES)) t.matchSnapshot(tryPatch(patch), name);
  t.end();
});
