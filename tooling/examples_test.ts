import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import t from 'tap';
import ts from 'typescript';

const OUTPUT = 'dist/module_examples';

/** The example in a module's comment, if it has one. */
function exampleOf(folder: string): string | undefined {
  const text = readFileSync(`${folder}/mod.ts`, 'utf8');
  const block = /```ts\n([\s\S]*?)```/.exec(text)?.[1];
  return block?.replaceAll(/^ \* ?/gm, '');
}

function modules(): string[] {
  return readdirSync('.', { withFileTypes: true })
    .filter((entry) => entry.isDirectory() && !entry.name.startsWith('.'))
    .map(({ name }) => name)
    .filter((name) => name !== 'node_modules' && name !== 'dist')
    .filter((name) => readdirSync(name).includes('mod.ts'))
    .sort();
}

void t.test('each example in a module comment runs', async (t) => {
  mkdirSync(OUTPUT, { recursive: true });
  const ran: string[] = [];
  const assertions = t.capture(console, 'assert', () => undefined);
  for (const folder of modules()) {
    const example = exampleOf(folder);
    if (example === undefined) continue;
    const source = example.replaceAll("'rhubarbkeel'", "'../mod.js'");
    const { outputText } = ts.transpileModule(source, {
      compilerOptions: { module: ts.ModuleKind.ES2022, target: ts.ScriptTarget.ES2022 },
    });
    const file = `${OUTPUT}/${folder}.js`;
    writeFileSync(file, outputText);
    await import(pathToFileURL(file).href);
    const failed = assertions().filter(({ args }) => args[0] !== true).length;
    ran.push(`${folder}: ${failed} failed`);
  }
  t.matchSnapshot(ran, 'examples');
});
