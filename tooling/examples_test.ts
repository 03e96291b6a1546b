import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import t from 'tap';
import ts from 'typescript';

const OUTPUT_FOLDER = 'dist/module_examples';

/** Returns the example in the comment of a module, if it has one. */
function readExample(folder: string): string | undefined {
  const text = readFileSync(`${folder}/mod.ts`, 'utf8');
  const block = /```ts\n([\s\S]*?)```/.exec(text)?.[1];
  return block?.replaceAll(/^ \* ?/gm, '');
}

function listModules(): string[] {
  return readdirSync('.', { withFileTypes: true })
    .filter((entry) => entry.isDirectory() && !entry.name.startsWith('.'))
    .map(({ name }) => name)
    .filter((name) => name !== 'node_modules' && name !== 'dist')
    .filter((name) => readdirSync(name).includes('mod.ts'))
    .sort();
}

void t.test('each example in a module comment runs', async (t) => {
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const results: string[] = [];
  const assertions = t.capture(console, 'assert', () => undefined);
  for (const folder of listModules()) {
    const example = readExample(folder);
    if (example === undefined) continue;
    const source = example.replaceAll("'rhubarbkeel'", "'../mod.js'");
    const { outputText } = ts.transpileModule(source, {
      compilerOptions: { module: ts.ModuleKind.ES2022, target: ts.ScriptTarget.ES2022 },
    });
    const file = `${OUTPUT_FOLDER}/${folder}.js`;
    writeFileSync(file, outputText);
    await import(pathToFileURL(file).href);
    const failed = assertions().filter(({ args }) => args[0] !== true).length;
    results.push(`${folder}: ${failed} failed`);
  }
  t.matchSnapshot(results, 'examples');
});
