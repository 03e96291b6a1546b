import { Outcome, type Refusal } from '../contract/mod.ts';
import { NO_STATEMENT, type TargetRequest } from '../guard/mod.ts';
import { HeaderName } from './headers.ts';
import type {
  CallerHeaderFields,
  HeaderReader,
  HttpDialect,
  TargetHeaderFields,
} from './http_dialect.ts';

const MS_PER_SECOND = 1_000;

/** The dialect that uses the headers of {@linkcode HeaderName}. */
export class DefaultDialect implements HttpDialect {
  readonly reservedHeaders: ReadonlySet<string> = new Set<string>([
    HeaderName.Deadline,
    HeaderName.Depth,
    HeaderName.CallId,
  ]);

  readCallerHeaders(header: HeaderReader): CallerHeaderFields {
    return {
      callId: undefined,
      workspace: header(HeaderName.Workspace),
      deadline: header(HeaderName.Deadline),
      depth: header(HeaderName.Depth),
      key: header(HeaderName.IdempotencyKey),
    };
  }

  toTargetHeaders({ callId, leftMs }: TargetRequest): readonly (readonly [string, string])[] {
    return [
      [HeaderName.Deadline, String(Math.max(1, Math.floor(leftMs)))],
      [HeaderName.CallId, callId],
    ];
  }

  readTargetHeaders(_status: number, header: HeaderReader): TargetHeaderFields {
    return {
      callId: header(HeaderName.CallId),
      targetId: header(HeaderName.TargetIncarnation),
      shed: header(HeaderName.TargetShed) !== undefined,
      isAuthentic: true,
      load: undefined,
      coldMs: undefined,
      statement: NO_STATEMENT,
    };
  }

  /** A target need not name the call in an answer, unless it says that it has not run it. */
  isAnswerTo({ callId }: TargetRequest, fields: TargetHeaderFields): boolean {
    return fields.callId === undefined ? !fields.shed : fields.callId === callId;
  }

  isProbeReport({ callId, shed }: TargetHeaderFields): boolean {
    return callId === undefined && !shed;
  }

  toAnswerHeaders(callId: string, nextKey: string | undefined): Record<string, string> {
    const headers: Record<string, string> = { [HeaderName.CallId]: callId };
    if (nextKey !== undefined) headers[HeaderName.IdempotencyKey] = nextKey;
    headers[HeaderName.Outcome] = Outcome.Answered;
    return headers;
  }

  toRefusalHeaders(callId: string, { outcome, nextKey }: Refusal): Record<string, string> {
    const headers: Record<string, string> = { [HeaderName.CallId]: callId };
    if (nextKey !== undefined) headers[HeaderName.IdempotencyKey] = nextKey;
    headers[HeaderName.Outcome] = outcome;
    return headers;
  }

  formatRetryAfter(delayMs: number): string {
    return String(Math.ceil(delayMs / MS_PER_SECOND));
  }
}
