import { Outcome, type Refusal } from '../contract/mod.ts';
import type { TargetRequest } from '../guard/mod.ts';
import { HeaderName } from './headers.ts';
import type { CallerFields, HeaderReader, HttpDialect, TargetFields } from './http_dialect.ts';

const MS_PER_SECOND = 1_000;

/** The product's own headers. */
export class OwnDialect implements HttpDialect {
  readonly reserved: ReadonlySet<string> = new Set<string>([HeaderName.Deadline, HeaderName.Depth]);

  readCaller(header: HeaderReader): CallerFields {
    return {
      callId: undefined,
      workspace: header(HeaderName.Workspace),
      deadline: header(HeaderName.Deadline),
      depth: header(HeaderName.Depth),
      key: header(HeaderName.IdempotencyKey),
    };
  }

  targetHeaders({ leftMs }: TargetRequest): readonly (readonly [string, string])[] {
    return [[HeaderName.Deadline, String(Math.max(1, Math.floor(leftMs)))]];
  }

  readTarget(_status: number, header: HeaderReader): TargetFields {
    return {
      callId: undefined,
      targetId: header(HeaderName.TargetIncarnation),
      shed: header(HeaderName.TargetShed) !== undefined,
      isGenuine: true,
      load: undefined,
      coldMs: undefined,
    };
  }

  answerHeaders(callId: string, nextKey: string | undefined): Record<string, string> {
    const headers: Record<string, string> = { [HeaderName.CallId]: callId };
    if (nextKey !== undefined) headers[HeaderName.IdempotencyKey] = nextKey;
    headers[HeaderName.Outcome] = Outcome.Answered;
    return headers;
  }

  refusalHeaders(callId: string, { outcome, nextKey }: Refusal): Record<string, string> {
    const headers: Record<string, string> = { [HeaderName.CallId]: callId };
    if (nextKey !== undefined) headers[HeaderName.IdempotencyKey] = nextKey;
    headers[HeaderName.Outcome] = outcome;
    return headers;
  }

  retryAfter(delayMs: number): string {
    return String(Math.ceil(delayMs / MS_PER_SECOND));
  }
}
