import { err, type Result } from 'neverthrow';
import type { Finding, JsoncDocument } from '../finding/mod.ts';
import { checkDocument } from '../finding/mod.ts';
import { Configuration } from '../configuration/mod.ts';
import { settingsSchema } from '../settings/mod.ts';
import { ExitCode } from './exit_code.ts';
import type { Output } from './output.ts';
import { readDocument } from './read_document.ts';

/** Type of a checked document. */
export enum DocumentType {
  Settings = 'settings',
  Configuration = 'configuration',
}

/**
 * Checks settings and configuration documents and reports all findings together.
 *
 * @param files Paths of the documents.
 * @param output Receives the results.
 * @returns The exit code.
 */
export function runCheck(files: readonly string[], output: Output): ExitCode {
  const results = files.map((file) => ({ file, result: readDocument(file).andThen(checkSource) }));
  const findings = results.flatMap(({ result }) => (result.isErr() ? result.error : []));
  if (findings.length > 0) {
    output.printFindings(findings);
    return ExitCode.Findings;
  }
  const checked = results.map(({ file, result }) => ({ file, type: result.unwrapOr(undefined) }));
  const lines = checked.map(({ file, type }) => `${file}: ${type ?? ''}, no findings`);
  output.print({ checked, findings }, lines.join('\n'));
  return ExitCode.Done;
}

function checkSource(source: JsoncDocument): Result<DocumentType | undefined, Finding[]> {
  if (source.syntaxFindings.length > 0) return err([...source.syntaxFindings]);
  const isSettings = typeof source.value === 'object' && 'instance' in (source.value ?? {});
  if (isSettings) return checkDocument(source, settingsSchema).map(() => DocumentType.Settings);
  return Configuration.parse(source).map(() => DocumentType.Configuration);
}
